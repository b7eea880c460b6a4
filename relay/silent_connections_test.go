package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/pipenet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/relay"
	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// deskLatency is how long a desk takes for a request.
	deskLatency = 20 * time.Millisecond
	// warmRequests is how many requests at a time leave kept connections to a desk behind.
	warmRequests = 4
)

// blackholeSite is a relay and its plain upstreams in a network of their own.
type blackholeSite struct {
	t        *testing.T
	network  *pipenet.Network
	relay    *relay.Relay
	desks    int
	requests int
	vm       *clocktest.VM
}

// newBlackholeSite starts a relay and desks, in virtual time.
func newBlackholeSite(t *testing.T, desks int) *blackholeSite {
	t.Helper()
	s := &blackholeSite{t: t, network: pipenet.New(), desks: desks, vm: clocktest.NewVM()}
	life, end := context.WithCancel(context.Background())
	engines := platform.NewEngines(platform.WithEngineDialer(s.network.DialContext))
	model := dispatch.New(dispatch.WithSeed(1), dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetryShare: 0.2, RetrySlack: 200}))
	s.relay = relay.New(life, platform.Headers{}, model, clock.New(clock.WithVM(s.vm)), zap.NewNop(),
		relay.WithEngines(engines), relay.WithDialer(s.network.DialContext))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := s.relay.Run(life); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v from a relay whose life has ended, want its end", err)
		}
	}()
	t.Cleanup(func() {
		end()
		<-ended
		engines.Close()
	})
	s.relay.SetPeers(dispatch.PeersMsg{TotalNodes: 1, Members: []limit.Member{{}}})
	catalog, err := platform.DecodeCatalog(standin.SiteConfig(1, "k1"), moment.Moment{})
	if err != nil {
		t.Fatal(err)
	}
	s.relay.SetCatalog(catalog, 0)
	for i := range desks {
		s.startDesk(fmt.Sprintf("d%d", i+1))
	}
	return s
}

func (s *blackholeSite) startDesk(id string) {
	address := id + ":80"
	server := &http.Server{Handler: standin.NewPlainServer(id, address, deskLatency).Handler()}
	listener := s.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.relay.UpdateFleet([]fleet.Change{{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{ID: fleet.IncarnationByID(fleet.ID(id)), Service: standin.SitePlainService, Address: address, Slots: 6}}})
}

// request asks for a path in the background, and hands over the status.
func (s *blackholeSite) request(method, path string) <-chan int {
	s.requests++
	req := httptest.NewRequest(method, path, nil)
	req.Host = standin.SiteHost
	req.Header.Set("Attempt-Id", fmt.Sprintf("a%d", s.requests))
	req.Header.Set("Deadline-Remaining-Ms", "3000")
	req.Header.Set("Authorization", "Bearer k1")
	status := make(chan int, 1)
	go func() {
		answer := httptest.NewRecorder()
		s.relay.ServeHTTP(answer, req)
		status <- answer.Code
	}()
	return status
}

// warm leaves kept connections to the desks behind.
func (s *blackholeSite) warm() {
	s.t.Helper()
	var answers []<-chan int
	for range warmRequests * s.desks {
		answers = append(answers, s.request(http.MethodPost, "/once/a"))
	}
	for _, answer := range answers {
		if got := <-answer; got != http.StatusOK {
			s.t.Fatalf("got status %d before any connection went silent, want 200", got)
		}
	}
}

// The kept connections to all upstreams of a service went silent for good. A request
// that may be repeated went out on one, was taken back, went out on the next, and used
// up its upstreams or its time, although each of them would have answered on a new one.
func TestRepeatAfterASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 3)
		s.warm()
		s.network.Blackhole()
		began := time.Now()
		if got := <-s.request(http.MethodGet, "/read/a"); got != http.StatusOK {
			t.Errorf("got status %d, want 200", got)
		}
		// Four times the first guess of an answer's time, and the second upstream's.
		const want = 200 * time.Millisecond
		if got := time.Since(began); got > want {
			t.Errorf("got an answer after %v, want it after %v at most: one attempt in vain", got, want)
		}
	})
}

// A request that may run only once is lost where its connection has gone silent. Those
// that followed went out on the other silent connections and were lost as well.
func TestOnceOnlyAfterASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 1)
		s.warm()
		s.network.Blackhole()
		lost := s.request(http.MethodPost, "/once/a")
		time.Sleep(time.Second / 2)
		for range 3 {
			if got := <-s.request(http.MethodPost, "/once/b"); got != http.StatusOK {
				t.Errorf("got status %d half a second after a request without an answer, want 200", got)
			}
		}
		if got := <-lost; got != http.StatusGatewayTimeout {
			t.Errorf("got status %d for the request that was lost, want 504", got)
		}
	})
}

// An upstream that is only slow keeps its connections: new ones are dear.
func TestConnectionsOfASlowUpstreamAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 1)
		s.warm()
		before := s.network.DialCount("d1:80")
		for range 10 {
			if got := <-s.request(http.MethodPost, "/once/a"); got != http.StatusOK {
				t.Errorf("got status %d, want 200", got)
			}
			time.Sleep(time.Second)
		}
		if got := s.network.DialCount("d1:80"); got != before {
			t.Errorf("got %d new connections, want none", got-before)
		}
	})
}

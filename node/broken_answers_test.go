package node_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/internal/brokenanswer"
	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
)

// breakingService is a plain service whose answers may be broken. Its probes are always answered.
type breakingService struct {
	sound  http.Handler
	breaks atomic.Bool
	// answers and broken count its answers to work.
	answers, broken atomic.Int64
}

// ServeHTTP implements http.Handler.
func (b *breakingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/once/") {
		b.sound.ServeHTTP(w, r)
		return
	}
	b.answers.Add(1)
	if !b.breaks.Load() {
		b.sound.ServeHTTP(w, r)
		return
	}
	b.broken.Add(1)
	brokenanswer.Answer("HTTP/1.1 000 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nbody").ServeHTTP(w, r)
}

// addBreakingService starts another plain service whose answers may be broken.
func (s *site) addBreakingService(id string) *breakingService {
	server := httptest.NewUnstartedServer(nil)
	service := standin.NewPlainServer(id, server.Listener.Addr().String(), time.Millisecond)
	b := &breakingService{sound: service.Handler()}
	server.Config.Handler = b
	server.Start()
	s.startHeartbeat(id, func() *platformpb.Server { return service.Entry("dc") })
	s.t.Cleanup(server.Close)
	return b
}

// Guards against an upstream that answers its probes and breaks all its other answers, and that goes on getting its
// share of the requests: those that may be executed once fail there.
func TestUpstreamWithBrokenAnswersLosesItsPlace(t *testing.T) {
	t.Parallel()
	const upstreams, requests = 10, 400
	s := newSite(t, 2)
	s.stopPlainService()
	services := make([]*breakingService, upstreams)
	for i := range services {
		services[i] = s.addBreakingService(fmt.Sprint("b", i))
	}
	n := s.startNode("n1", s.storeAddress)
	await(t, "answer", func() bool { return n.do(http.MethodPost, "/once/a", "warm", "k1").status == http.StatusOK })
	send := func(name string) (failed int) {
		for i := range requests {
			if got := n.do(http.MethodPost, "/once/a", fmt.Sprint(name, i), "k1"); got.status != http.StatusOK {
				failed++
				if got.status != http.StatusBadGateway {
					t.Errorf("got status %d and error %v, want 502 at the most", got.status, got.err)
				}
			}
		}
		return failed
	}
	send("sound-")
	breaking := services[0]
	for _, b := range services {
		if b.answers.Load() > breaking.answers.Load() {
			breaking = b
		}
	}
	share := breaking.answers.Load()
	breaking.breaks.Store(true)
	failed := send("broken-")
	t.Logf("got %d broken answers of %d, after %d of %d before", breaking.broken.Load(), requests, share, requests)
	if got, want := breaking.broken.Load(), share/2; got > want {
		t.Errorf("got %d requests at the upstream, want at most half of %d", got, share)
	}
	if got := int64(failed); got != breaking.broken.Load() {
		t.Errorf("got %d failed requests, want the %d at the upstream", got, breaking.broken.Load())
	}
}

package node_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/internal/brokenanswer"
	"github.com/hoistjunction/hoistjunction/platform/platformpb"
	"github.com/hoistjunction/hoistjunction/standin"
)

// breakingSlots is the number of requests that a breakingService works on, and of those that wait.
const breakingSlots = 64

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
	service.SetSlots(breakingSlots, breakingSlots)
	b := &breakingService{sound: service.Handler()}
	server.Config.Handler = b
	server.Start()
	s.startHeartbeat(id, func() *platformpb.Server { return service.Entry("dc") })
	s.t.Cleanup(server.Close)
	return b
}

// Guards against upstreams that answer their probes and break all their other answers, and that go on getting
// their share of the requests: those that may be executed once fail there. Each of them ended without an answer.
func TestUpstreamsWithBrokenAnswersLoseTheirPlace(t *testing.T) {
	t.Parallel()
	for _, breaking := range []int{1, 4, 9} {
		t.Run(fmt.Sprint(breaking), func(t *testing.T) {
			t.Parallel()
			checkLosePlace(t, breaking)
		})
	}
}

// checkLosePlace breaks the answers of some of ten upstreams, those that have got most requests, and checks that
// they get no more than a quarter of further requests.
func checkLosePlace(t *testing.T, breaking int) {
	t.Helper()
	const upstreams, requests = 10, 800
	s := newSite(t, 4)
	s.stopPlainService()
	services := make([]*breakingService, upstreams)
	for i := range services {
		services[i] = s.addBreakingService(fmt.Sprint("b", i))
	}
	n := s.startNode("n1", s.storeAddress)
	await(t, "answer", func() bool { return n.do(http.MethodPost, "/once/a", "warm", "k1").status == http.StatusOK })
	if failed := n.sendMany(t, "sound", requests); failed != 0 {
		t.Errorf("got %d requests failed at sound upstreams, want none", failed)
	}
	slices.SortFunc(services, func(a, b *breakingService) int { return int(b.answers.Load() - a.answers.Load()) })
	for _, b := range services[:breaking] {
		b.breaks.Store(true)
	}
	failed, broken := n.sendMany(t, "broken", requests), int64(0)
	for _, b := range services {
		broken += b.broken.Load()
	}
	t.Logf("got %d broken answers to %d requests", broken, requests)
	if broken > requests/4 {
		t.Errorf("got %d of %d requests at upstreams with broken answers, want at most a quarter", broken, requests)
	}
	if failed != broken {
		t.Errorf("got %d failed requests, want the %d whose answers were broken", failed, broken)
	}
}

// sendMany sends requests that may be executed once, several at a time, and returns how many failed. None may end
// but with an answer or 502.
func (n *testNode) sendMany(t *testing.T, name string, requests int) (failed int64) {
	t.Helper()
	const clients, requestPause = 8, 5 * time.Millisecond
	var failures atomic.Int64
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := range requests / clients {
				time.Sleep(requestPause)
				got := n.do(http.MethodPost, "/once/a", fmt.Sprint(name, c, "-", i), "k1")
				if got.status == http.StatusOK {
					continue
				}
				failures.Add(1)
				if got.status != http.StatusBadGateway {
					t.Errorf("got status %d, body %q and error %v, want 200 or 502", got.status, got.body, got.err)
				}
			}
		})
	}
	wg.Wait()
	return failures.Load()
}

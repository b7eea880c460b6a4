package relay_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/relay"
	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// gapTarget is the largest pause of a stream on the route of these tests, in ms.
	gapTarget = 250
	// stallAt is the event after which a stream waits for the lost engine.
	stallAt = 10
)

// waitingEngine is the first engine of a chain. Its streams stop after event stallAt until they are
// migrated, and their events are those of streamEngine.
type waitingEngine struct {
	streamEngine
	chainMu sync.Mutex
	// chains holds the chains of the attempts in order.
	chains []string
	// migrated is closed at the first migration order.
	migrated chan struct{}
	once     sync.Once
}

func (e *waitingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/order":
		defer e.once.Do(func() { close(e.migrated) })
	case "/report":
	default:
		e.chainMu.Lock()
		e.chains = append(e.chains, r.Header.Get("Path"))
		e.chainMu.Unlock()
		w = &stoppingWriter{ResponseWriter: w, engine: e}
	}
	e.streamEngine.ServeHTTP(w, r)
}

func (e *waitingEngine) lastChain() string {
	e.chainMu.Lock()
	defer e.chainMu.Unlock()
	return e.chains[len(e.chains)-1]
}

// stoppingWriter stops a stream after event stallAt until the engine has an order.
type stoppingWriter struct {
	http.ResponseWriter
	engine *waitingEngine
	events int
}

func (w *stoppingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *stoppingWriter) Write(data []byte) (int, error) {
	if w.events++; w.events > stallAt {
		<-w.engine.migrated
	}
	return w.ResponseWriter.Write(data)
}

// reporter is a later engine of a chain, whose reports take a time. They show an order taken, since an
// engine without one counts as restarted and empty.
type reporter struct{ delay time.Duration }

func (e *reporter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(e.delay):
	case <-r.Context().Done():
	}
	_, _ = w.Write([]byte(`{"pace":1,"sequence":1,"stalled":[]}`))
}

// newGapTargetSite starts a site whose streams have a largest pause.
func newGapTargetSite(t *testing.T, opts ...relay.Option) *blackholeSite {
	t.Helper()
	s := newBlackholeSite(t, 0, opts...)
	catalog, err := platform.DecodeCatalog(standin.SiteConfig(2, "k1"), moment.Moment{})
	if err != nil {
		t.Fatal(err)
	}
	route, err := catalog.Route(standin.SiteHost, "/write/a")
	if err != nil {
		t.Fatal(err)
	}
	route.EventGapTarget = gapTarget
	s.relay.SetCatalog(catalog, 0)
	return s
}

func (s *blackholeSite) startHandler(id string, held fleet.LayerRange, handler http.Handler) {
	s.startServer(id, held, &http.Server{Handler: handler})
}

// startServer starts a server as an engine that holds a range of layers.
func (s *blackholeSite) startServer(id string, held fleet.LayerRange, server *http.Server) {
	address := id + ":80"
	listener := s.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.relay.UpdateFleet([]fleet.Change{{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{
		ID: fleet.IncarnationByID(fleet.ID(id)), Service: standin.SiteStreamService, Address: address, Slots: 64, Accelerator: standin.SiteAccelerator, Held: held,
	}}})
}

// A stream over an engine that had died left it only when the engine's report timed out, after a
// pause of 270 ms, so that it was late before the new engines had read its tokens. An engine that
// only answers late loses its streams too, but must get new ones as soon as it has answered.
func TestStreamLeavesUnresponsiveEngineInTime(t *testing.T) {
	for _, tt := range []struct {
		name  string
		delay time.Duration
		// usedAgain reports whether a new stream uses the engine 100 ms after the migration.
		usedAgain bool
	}{
		{"dead engine", time.Hour, false},
		{"late engine", 100 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newGapTargetSite(t)
				first := &waitingEngine{migrated: make(chan struct{})}
				s.startHandler("e1", fleet.LayerRange{From: 0, To: 6}, first)
				s.startHandler("e2", fleet.LayerRange{From: 6, To: 12}, &reporter{delay: tt.delay})
				running := []<-chan *pauseRecorder{s.stream("one"), s.stream("two")}
				time.Sleep(stallAt * eventInterval / 2)
				s.startHandler("e3", fleet.LayerRange{From: 6, To: 12}, &reporter{})
				select {
				case <-first.migrated:
				case <-time.After(maxCallerPause):
					first.once.Do(func() { close(first.migrated) })
					t.Fatalf("got no migration within %v", maxCallerPause)
				}
				time.Sleep(100 * time.Millisecond)
				// e3 leaves, so that a new stream needs e2.
				s.relay.UpdateFleet([]fleet.Change{{ID: fleet.IncarnationByID("e3"), Gone: true}})
				more := s.stream("three")
				for i, done := range running {
					answer := <-done
					answer.check(t)
					if limit := gapTarget * time.Millisecond; answer.longest >= limit {
						t.Errorf("stream %d: got a pause of %v, want less than %v", i, answer.longest, limit)
					}
				}
				answer := <-more
				if got := answer.Code == http.StatusOK; got != tt.usedAgain {
					t.Errorf("got status %d for a stream that needs the engine, want it served: %v", answer.Code, tt.usedAgain)
				}
				if chain := first.lastChain(); tt.usedAgain && !strings.Contains(chain, "e2") {
					t.Errorf("got chain %s, want one through e2", chain)
				}
			})
		})
	}
}

// An attempt without a first event was abandoned after 1.6 s, and its caller had left at 2 s before
// another attempt could bring one. Without another chain the attempt must be kept.
func TestFirstEventOfSecondAttemptIsInTime(t *testing.T) {
	for _, second := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newGapTargetSite(t)
			// The first engine sends its first event after 1.52 s, before the caller leaves.
			s.startHandler("e9", fleet.LayerRange{From: 6, To: 12}, &reporter{})
			s.startHandler("e1", fleet.LayerRange{From: 0, To: 6}, &slowStarter{delay: 1500 * time.Millisecond})
			running := s.stream("one")
			time.Sleep(100 * time.Millisecond)
			if second {
				s.startEngine("e2", fleet.LayerRange{From: 0, To: 6})
			}
			answer := <-running
			answer.check(t)
			if limit := 1100 * time.Millisecond; second && answer.longest >= limit {
				t.Errorf("got the first event after %v, want less than %v", answer.longest, limit)
			}
		})
	}
}

// slowStarter is an engine that answers reports at once and begins its streams late.
type slowStarter struct {
	streamEngine
	delay time.Duration
}

func (e *slowStarter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		(&reporter{}).ServeHTTP(w, r)
		return
	}
	time.Sleep(e.delay)
	e.streamEngine.ServeHTTP(w, r)
}

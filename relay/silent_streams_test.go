package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// streamEvents is the number of events of a stream, and eventInterval the pause between
	// them.
	streamEvents  = 40
	eventInterval = 20 * time.Millisecond
	// maxCallerPause is the longest pause for which callers wait.
	maxCallerPause = 2 * time.Second
)

// streamEngine is an engine that resumes streams after the event given in Last-Event-Id.
type streamEngine struct {
	// stalled is the JSON of the stream that the engine reports as stalled; empty for none.
	mu         sync.Mutex
	stalled    string
	migrations int
}

// reportStall makes the engine report a stream as waiting for another engine.
func (e *streamEngine) reportStall(id, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = fmt.Sprintf(`{"id":%q,"address":%q}`, id, address)
}

// migrate handles a migration order, which ends the stall.
func (e *streamEngine) migrate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = ""
	e.migrations++
}

func (e *streamEngine) migrationCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.migrations
}

func (e *streamEngine) report(w io.Writer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"pace":1,"stalled":[%s]}`, e.stalled)
}

func (e *streamEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		e.report(w)
		return
	case "/order":
		e.migrate()
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", "s")
	// A missing header yields 0, so the stream starts with the first event.
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents && r.Context().Err() == nil; n++ {
		time.Sleep(eventInterval)
		if _, err := io.WriteString(w, eventText(n)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

// startEngine starts an engine that holds a range of layers.
func (s *blackholeSite) startEngine(id string, held fleet.LayerRange) *streamEngine {
	engine := &streamEngine{}
	s.serveEngine(id, held, engine)
	return engine
}

// serveEngine adds an engine that holds a range of layers and is served by a handler.
func (s *blackholeSite) serveEngine(id string, held fleet.LayerRange, engine http.Handler) {
	address := id + ":80"
	server := &http.Server{Handler: engine}
	listener := s.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.relay.UpdateFleet([]fleet.Change{{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{
		ID: fleet.IncarnationByID(fleet.ID(id)), Service: standin.SiteStreamService, Address: address, Slots: 64, Accelerator: standin.SiteAccelerator, Held: held,
	}}})
}

// pauseRecorder records the longest time between two writes of an answer.
type pauseRecorder struct {
	*httptest.ResponseRecorder
	last    time.Time
	longest time.Duration
}

func (p *pauseRecorder) Write(data []byte) (int, error) {
	p.longest = max(p.longest, time.Since(p.last))
	p.last = time.Now()
	return p.ResponseRecorder.Write(data)
}

// stream requests a stream in the background and returns a channel for the recorded answer.
func (s *blackholeSite) stream(id string) <-chan *pauseRecorder {
	req := httptest.NewRequest(http.MethodPost, "/write/a", nil)
	req.Host = standin.SiteHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Remaining-Ms", "20000")
	req.Header.Set("Token-Count", "40,40")
	req.Header.Set("Authorization", "Bearer k1")
	done := make(chan *pauseRecorder, 1)
	go func() {
		answer := &pauseRecorder{ResponseRecorder: httptest.NewRecorder(), last: time.Now()}
		defer func() {
			// An answer that is broken off ends its handler so, as net/http demands.
			r := recover()
			if err, ok := r.(error); r != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
				panic(r)
			}
			done <- answer
		}()
		s.relay.ServeHTTP(answer, req)
	}()
	return done
}

// All connections to the engines, running and kept ones, stopped carrying data. A stream
// resumed at another upstream used the next dead connection, and the following queries to the
// engines failed for the same reason: together longer than the two seconds for which callers
// wait.
func TestStreamsOnSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 0)
		s.startEngine("e1", fleet.LayerRange{From: 0, To: 6})
		s.startEngine("e2", fleet.LayerRange{From: 6, To: 12})
		const concurrent = 4
		var warm []<-chan *pauseRecorder
		for i := range concurrent {
			warm = append(warm, s.stream(fmt.Sprintf("warm%d", i)))
		}
		for _, done := range warm {
			if got := (<-done).Code; got != http.StatusOK {
				t.Fatalf("got status %d before the connections were muted, want 200", got)
			}
		}
		running := s.stream("running")
		time.Sleep(10 * eventInterval)
		s.network.Blackhole()
		(<-running).check(t)
	})
}

// check reports an error unless the stream is complete and has no pause at which its caller
// gives up.
func (p *pauseRecorder) check(t *testing.T) {
	t.Helper()
	var want strings.Builder
	for n := 1; n <= streamEvents; n++ {
		want.WriteString(eventText(n))
	}
	if got := p.Body.String(); got != want.String() {
		t.Errorf("got %d bytes of events, want %d, each event once", len(got), want.Len())
	}
	if p.longest >= maxCallerPause {
		t.Errorf("got a pause of %v, want less than %v, for which callers wait", p.longest, maxCallerPause)
	}
}

// A stream was migrated off a crashed engine without effect. The time until it is resumed at
// another upstream started again with the migration, in addition to the time until the crash
// was detected, and the caller had given up by then.
func TestStreamStallsAfterMigration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 0)
		first := s.startEngine("e1", fleet.LayerRange{From: 0, To: 6})
		s.startEngine("e2", fleet.LayerRange{From: 6, To: 12})
		running := s.stream("running")
		time.Sleep(10 * eventInterval)
		s.startEngine("e3", fleet.LayerRange{From: 6, To: 12})
		s.network.Blackhole()
		// The engines' reports lag by some hundred ms.
		time.Sleep(600 * time.Millisecond)
		first.reportStall("running", "e2:80")
		answer := <-running
		answer.check(t)
		if got := first.migrationCount(); got == 0 {
			t.Error("got no migration, want one before the stream was resumed at another upstream")
		}
	})
}

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

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// streamEvents is how many events a stream has, and eventInterval the pause between.
	streamEvents  = 40
	eventInterval = 20 * time.Millisecond
	// maxCallerPause is the longest pause after which callers are still there.
	maxCallerPause = 2 * time.Second
)

// streamEngine is an engine whose streams go on after the last event that is named.
type streamEngine struct {
	// stalled is what it reports as standing still, in the platform's form, until it is
	// told to move it.
	mu         sync.Mutex
	stalled    string
	migrations int
}

// reportStall makes it report a stream as waiting for another engine.
func (e *streamEngine) reportStall(id, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = fmt.Sprintf(`{"id":%q,"address":%q}`, id, address)
}

// migrate takes the order to move the stream, which no longer stands still.
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
	// No header stands for the beginning.
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

// startEngine starts an engine that holds some layers.
func (s *blackholeSite) startEngine(id string, held fleet.LayerRange) *streamEngine {
	address := id + ":80"
	engine := &streamEngine{}
	server := &http.Server{Handler: engine}
	listener := s.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.relay.UpdateFleet([]fleet.Change{{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{
		ID: fleet.IncarnationByID(fleet.ID(id)), Service: standin.SiteStreamService, Address: address, Slots: 64, Accelerator: standin.SiteAccelerator, Held: held,
	}}})
	return engine
}

// pauseRecorder notes the longest time between two pieces of an answer.
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

// stream asks for a stream in the background, and hands over what came of it.
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
		s.relay.ServeHTTP(answer, req)
		done <- answer
	}()
	return done
}

// All connections to the engines went silent for good under running streams, and the
// kept ones with them. A stream that was taken up elsewhere met the next silent one, and
// then questions that went unanswered for the same reason: together more than the two
// seconds for which callers wait.
func TestStreamsOnSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 0)
		s.startEngine("e1", fleet.LayerRange{From: 0, To: 6})
		s.startEngine("e2", fleet.LayerRange{From: 6, To: 12})
		const atOnce = 4
		var warm []<-chan *pauseRecorder
		for i := range atOnce {
			warm = append(warm, s.stream(fmt.Sprintf("warm%d", i)))
		}
		for _, done := range warm {
			if got := (<-done).Code; got != http.StatusOK {
				t.Fatalf("got status %d before any connection went silent, want 200", got)
			}
		}
		running := s.stream("running")
		time.Sleep(10 * eventInterval)
		s.network.Blackhole()
		(<-running).check(t)
	})
}

// check tells whether a stream came whole, without a pause at which its caller leaves.
func (p *pauseRecorder) check(t *testing.T) {
	t.Helper()
	var whole strings.Builder
	for n := 1; n <= streamEvents; n++ {
		whole.WriteString(eventText(n))
	}
	if got := p.Body.String(); got != whole.String() {
		t.Errorf("got %d bytes of events, want all %d once", len(got), whole.Len())
	}
	if p.longest >= maxCallerPause {
		t.Errorf("got a pause of %v, want less than callers wait, %v", p.longest, maxCallerPause)
	}
}

// A stream was moved off a lost engine, and nothing came of it. The time after which it
// is taken up elsewhere began anew with the move, on top of that until the engine was
// found, and its caller had left by then.
func TestStreamThatStandsStillAfterItsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 0)
		first := s.startEngine("e1", fleet.LayerRange{From: 0, To: 6})
		s.startEngine("e2", fleet.LayerRange{From: 6, To: 12})
		running := s.stream("running")
		time.Sleep(10 * eventInterval)
		s.startEngine("e3", fleet.LayerRange{From: 6, To: 12})
		s.network.Blackhole()
		// The engines' reports are some hundred ms behind.
		time.Sleep(600 * time.Millisecond)
		first.reportStall("running", "e2:80")
		answer := <-running
		answer.check(t)
		if got := first.migrationCount(); got == 0 {
			t.Error("got no move, want one before the stream was taken up elsewhere")
		}
	})
}

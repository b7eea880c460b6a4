package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// streamEvents is how many events a stream has, and eventEvery the pause between.
	streamEvents = 40
	eventEvery   = 20 * time.Millisecond
	// callersPatience is the longest pause after which callers are still there.
	callersPatience = 2 * time.Second
)

// streamEngine is an engine whose streams go on after the last event that is named.
type streamEngine struct{}

func (streamEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		_, _ = io.WriteString(w, `{"pace":1}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", "s")
	// No header stands for the beginning.
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents && r.Context().Err() == nil; n++ {
		time.Sleep(eventEvery)
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
func (s *silentSite) startEngine(id string, held fleet.Range) {
	address := id + ":80"
	server := &http.Server{Handler: streamEngine{}}
	listener := s.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.relay.SetFleet([]fleet.Change{{ID: id, Upstream: fleet.Upstream{
		ID: id, Service: standin.SiteWriter, Address: address, Slots: 64, Accelerator: standin.SiteKind, Held: held,
	}}})
}

// pausedRecorder notes the longest time between two pieces of an answer.
type pausedRecorder struct {
	*httptest.ResponseRecorder
	last    time.Time
	longest time.Duration
}

func (p *pausedRecorder) Write(data []byte) (int, error) {
	p.longest = max(p.longest, time.Since(p.last))
	p.last = time.Now()
	return p.ResponseRecorder.Write(data)
}

// stream asks for a stream in the background, and hands over what came of it.
func (s *silentSite) stream(id string) <-chan *pausedRecorder {
	req := httptest.NewRequest(http.MethodPost, "/write/a", nil)
	req.Host = standin.SiteHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Remaining-Ms", "20000")
	req.Header.Set("Token-Count", "40,40")
	req.Header.Set("Authorization", "Bearer k1")
	done := make(chan *pausedRecorder, 1)
	go func() {
		answer := &pausedRecorder{ResponseRecorder: httptest.NewRecorder(), last: time.Now()}
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
		s := newSilentSite(t, 0)
		s.startEngine("e1", fleet.Range{From: 0, To: 6})
		s.startEngine("e2", fleet.Range{From: 6, To: 12})
		const atOnce = 4
		var warm []<-chan *pausedRecorder
		for i := range atOnce {
			warm = append(warm, s.stream(fmt.Sprintf("warm%d", i)))
		}
		for _, done := range warm {
			if got := (<-done).Code; got != http.StatusOK {
				t.Fatalf("got status %d before any connection went silent, want 200", got)
			}
		}
		running := s.stream("running")
		time.Sleep(10 * eventEvery)
		s.network.Mute()
		answer := <-running
		var whole strings.Builder
		for n := 1; n <= streamEvents; n++ {
			whole.WriteString(eventText(n))
		}
		if got := answer.Body.String(); got != whole.String() {
			t.Errorf("got %d bytes of events, want all %d once", len(got), whole.Len())
		}
		if answer.longest >= callersPatience {
			t.Errorf("got a pause of %v, want less than callers wait, %v", answer.longest, callersPatience)
		}
	})
}

package relay_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// repeatingEngine is an engine that sends the same event again and again.
type repeatingEngine struct{ *streamEngine }

func (e repeatingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" || r.URL.Path == "/order" {
		e.streamEngine.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", "s")
	for n := 1; r.Context().Err() == nil; n = min(n+1, streamEvents/2) {
		time.Sleep(eventInterval)
		if _, err := io.WriteString(w, eventText(n)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// Guards against a stream that an engine holds by sending events without end that the caller has already.
// They are not passed on, but counted as progress, so that no other engine took the stream up in the two
// seconds for which callers wait.
func TestRepeatedEventsAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 0)
		s.serveEngine("e1", fleet.LayerRange{From: 0, To: 6}, repeatingEngine{&streamEngine{}})
		s.startEngine("e2", fleet.LayerRange{From: 6, To: 12})
		running := s.stream("running")
		time.Sleep(eventInterval)
		s.startEngine("e3", fleet.LayerRange{From: 0, To: 6})
		(<-running).check(t)
		// The engine notices the end of its connection with its next event.
		time.Sleep(2 * eventInterval)
	})
}

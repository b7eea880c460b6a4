package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeEvents writes the events of a stream, after Last-Event-Id if the client
// resumes it.
func (e *ChainEngine) writeEvents(w http.ResponseWriter, r *http.Request, stream *engineStream) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	time.Sleep(e.promptTime(r, stream))
	for n := first; n <= e.model.eventCount(r.URL.Path); n++ {
		time.Sleep(e.eventTime(stream))
		if stream.abort && n == first+abortAfterEvents || !e.executeStages(r.Context(), stream) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, SiteEvent(r.URL.Path, n)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}

// executeStages executes one event on all stages. It waits up to stallTimeout
// for an unavailable stage, and reports whether the event was executed.
func (e *ChainEngine) executeStages(ctx context.Context, stream *engineStream) bool {
	deadline := time.Now().Add(stallTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		e.mu.Lock()
		stages := stream.stages
		e.mu.Unlock()
		unavailable := ""
		for _, p := range stages[1:] {
			if !e.stageAvailable(ctx, p) {
				unavailable = p.address
				break
			}
		}
		e.mu.Lock()
		stream.stalledAt = unavailable
		e.mu.Unlock()
		if unavailable == "" {
			return true
		}
		time.Sleep(eventInterval)
	}
	return false
}

// SiteEventCount returns the number of events of the stream at a path.
func SiteEventCount(path string) int { return 10 + len(path)%30 }

// SiteEvent returns event n of the stream at a path, as server-sent event.
func SiteEvent(path string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, path, n) }

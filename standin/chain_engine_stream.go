package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeEvents writes the events after the last one that the caller has.
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

// executeStages has every part run one event. It waits for a part that is lost, and
// reports whether the stream may go on.
func (e *ChainEngine) executeStages(ctx context.Context, stream *engineStream) bool {
	until := time.Now().Add(stallTimeout)
	for time.Now().Before(until) && ctx.Err() == nil {
		e.mu.Lock()
		parts := stream.stages
		e.mu.Unlock()
		lost := ""
		for _, p := range parts[1:] {
			if !e.stageAvailable(ctx, p) {
				lost = p.address
				break
			}
		}
		e.mu.Lock()
		stream.stalledAt = lost
		e.mu.Unlock()
		if lost == "" {
			return true
		}
		time.Sleep(eventInterval)
	}
	return false
}

// SiteEventCount is how many events the stream of a path has.
func SiteEventCount(path string) int { return 10 + len(path)%30 }

// SiteEvent is one event of the stream of a path.
func SiteEvent(path string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, path, n) }

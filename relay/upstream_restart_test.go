package relay

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// hangOnFirst answers the first attempt with some events or none and then hangs; further
// attempts get complete streams.
type hangOnFirst struct {
	events   int
	attempts atomic.Int64
	// firstAddress receives the address to which the first attempt was sent.
	firstAddress chan string
}

func (h *hangOnFirst) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server detects a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get(headerAfter))
	if h.attempts.Add(1) > 1 {
		w.Header().Set(headerSeal, "2")
		writeEvents(w, after, lastStreamEvent)
		return
	}
	if h.events > 0 {
		w.Header().Set(headerSeal, "1")
		writeEvents(w, 0, h.events)
		w.(http.Flusher).Flush()
	}
	h.firstAddress <- fmt.Sprint(r.Context().Value(http.LocalAddrContextKey))
	<-r.Context().Done()
}

// restartUpstream notifies a relay that all upstreams have crashed and that one has started
// again at an address.
func restartUpstream(r *Relay, address string) {
	var changes []fleet.Change
	for i := range testUpstreams {
		changes = append(changes, fleet.Change{ID: fleet.IncarnationByID(fleet.ID("u" + strconv.Itoa(i))), Gone: true, Ended: true})
	}
	restarted := fleet.NewIncarnation("u0", 200)
	r.UpdateFleet(append(changes, fleet.Change{ID: restarted, Upstream: fleet.Upstream{ID: restarted, Service: "desk", Address: address}}))
}

// An upstream restarted under the same id while requests were in progress. They waited until
// their deadline for an answer of the crashed process.
func TestUpstreamRestartsDuringRequest(t *testing.T) {
	for _, tt := range []struct {
		path         string
		events       int
		wantStatus   int
		wantAttempts int64
	}{
		{"/write/a", brokenStreamEvents, http.StatusOK, 2},
		{"/write/a", 0, http.StatusOK, 2},
		{"/read/a", 0, http.StatusOK, 2},
		{"/once/a", 0, http.StatusBadGateway, 1},
	} {
		t.Run(fmt.Sprint(tt.path, " after ", tt.events), func(t *testing.T) {
			upstream := &hangOnFirst{events: tt.events, firstAddress: make(chan string, 1)}
			r, address := newTestRelay(t, upstream)
			got := make(chan callerAnswer)
			go func() { got <- call(t, http.DefaultClient, address, tt.path) }()
			restartUpstream(r, <-upstream.firstAddress)
			answer := <-got
			if answer.status != tt.wantStatus || !answer.complete {
				t.Errorf("got status %d, complete=%v, want a complete answer with status %d", answer.status, answer.complete, tt.wantStatus)
			}
			if tt.wantStatus == http.StatusOK && answer.body != eventsText(0, lastStreamEvent) {
				t.Errorf("got %q, want each event once", answer.body)
			}
			if got := upstream.attempts.Load(); got != tt.wantAttempts {
				t.Errorf("got %d attempts, want %d", got, tt.wantAttempts)
			}
		})
	}
}

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

// hangOnFirst answers the first attempt with some events, or with nothing, and then hangs;
// further attempts get whole streams.
type hangOnFirst struct {
	events   int
	attempts atomic.Int64
	// firstAddress gets the address that the first attempt came to.
	firstAddress chan string
}

func (h *hangOnFirst) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A server notices a closed connection once it has read the body.
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

// restartUpstream tells a relay that all upstreams have ended, and that one has started again
// at an address.
func restartUpstream(r *Relay, address string) {
	var changes []fleet.Change
	for i := range testUpstreams {
		changes = append(changes, fleet.Change{ID: fleet.IncarnationByID(fleet.ID("u" + strconv.Itoa(i))), Gone: true, Ended: true})
	}
	run := fleet.NewIncarnation("u0", 200)
	r.UpdateFleet(append(changes, fleet.Change{ID: run, Upstream: fleet.Upstream{ID: run, Service: "desk", Address: address}}))
}

// An upstream started again under its id while requests were under way there. They waited
// for an answer of a process that had ended until their time was up.
func TestUpstreamStartsAgain(t *testing.T) {
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
				t.Errorf("got status %d, whole %v, want a whole answer with %d", answer.status, answer.complete, tt.wantStatus)
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

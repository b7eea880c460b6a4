package standin

import (
	"net/http"
	"sync/atomic"
	"time"
)

// shutdownState is a server's leaving, and what still reaches it.
type shutdownState struct {
	leaving atomic.Bool
	// announced tells that its answers say that it leaves, whatever its entry says.
	announced atomic.Bool
	// lastRequestMS is the wall time of the last request, in ms since 1970.
	lastRequestMS atomic.Int64
}

// LastRequest is when a request has reached a server last.
type LastRequest struct {
	// AtMS is a wall time in ms since 1970; zero for never.
	AtMS int64 `json:"last_ms"`
}

// recordRequestTime notes a request that was meant for this server.
func (d *shutdownState) recordRequestTime(now time.Time) { d.lastRequestMS.Store(now.UnixMilli()) }

// entryState is what the server says of itself in the list.
func (d *shutdownState) entryState() string {
	if d.leaving.Load() {
		return "draining"
	}
	return "ready"
}

// setLeavingHeader has an answer say that the server leaves, where it does, and reports that.
func (d *shutdownState) setLeavingHeader(h http.Header) bool {
	leaving := d.leaving.Load() || d.announced.Load()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	return leaving
}

// AnnounceLeaving has the server's answers say that it leaves, and not its entry.
func (d *shutdownState) AnnounceLeaving() { d.announced.Store(true) }

// registerHandlers adds the calls that make a server say that it leaves, and that tell when a
// request has reached it last.
func (d *shutdownState) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { d.leaving.Store(true) })
	mux.HandleFunc("POST /say-leaving", func(http.ResponseWriter, *http.Request) { d.AnnounceLeaving() })
	mux.Handle("GET /arrival", jsonGetHandler(func() any { return LastRequest{AtMS: d.lastRequestMS.Load()} }))
}

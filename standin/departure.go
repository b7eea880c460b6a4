package standin

import (
	"net/http"
	"sync/atomic"
	"time"
)

// departure is a server's leaving, and what still reaches it.
type departure struct {
	leaving atomic.Bool
	// saysSo tells that its answers say that it leaves, whatever its entry says.
	saysSo atomic.Bool
	// last is the wall time of the last request, in ms since 1970.
	last atomic.Int64
}

// Arrival is when a request has reached a server last.
type Arrival struct {
	// LastMS is a wall time in ms since 1970; zero for never.
	LastMS int64 `json:"last_ms"`
}

// arrived notes a request that was meant for this server.
func (d *departure) arrived(now time.Time) { d.last.Store(now.UnixMilli()) }

// state is what the server says of itself in the list.
func (d *departure) state() string {
	if d.leaving.Load() {
		return "draining"
	}
	return "ready"
}

// mark has an answer say that the server leaves, where it does, and reports that.
func (d *departure) mark(h http.Header) bool {
	leaving := d.leaving.Load() || d.saysSo.Load()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	return leaving
}

// SayLeaving has the server's answers say that it leaves, and not its entry.
func (d *departure) SayLeaving() { d.saysSo.Store(true) }

// serve adds the calls that make a server say that it leaves, and that tell when a
// request has reached it last.
func (d *departure) serve(mux *http.ServeMux) {
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { d.leaving.Store(true) })
	mux.HandleFunc("POST /say-leaving", func(http.ResponseWriter, *http.Request) { d.SayLeaving() })
	mux.Handle("GET /arrival", jsonHandler(func() any { return Arrival{LastMS: d.last.Load()} }))
}

package standin

import (
	"net/http"
	"sync/atomic"
	"time"
)

// shutdownState holds whether a server is leaving, and the time of its last
// request. It is safe for concurrent use.
type shutdownState struct {
	// leaving is true if both the entry and the responses report it.
	leaving atomic.Bool
	// announced is true if the responses report that the server is leaving, even
	// if its entry does not.
	announced atomic.Bool
	// lastRequestMS is the time of the last request, in ms since 1970; zero means
	// never.
	lastRequestMS atomic.Int64
}

// LastRequest is the time at which a server last received a request.
type LastRequest struct {
	// AtMS is a time in ms since 1970; zero means never.
	AtMS int64 `json:"last_ms"`
}

// recordRequestTime sets the time of the last request.
func (s *shutdownState) recordRequestTime(now time.Time) { s.lastRequestMS.Store(now.UnixMilli()) }

// entryState returns the state in the server's entry.
func (s *shutdownState) entryState() string {
	if s.leaving.Load() {
		return "draining"
	}
	return "ready"
}

// setLeavingHeader sets the Server-Leaving header of a response if the server is
// leaving, and reports whether it did.
func (s *shutdownState) setLeavingHeader(h http.Header) bool {
	leaving := s.leaving.Load() || s.announced.Load()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	return leaving
}

// AnnounceLeaving makes the server's responses report that it is leaving. Its
// entry does not change.
func (s *shutdownState) AnnounceLeaving() { s.announced.Store(true) }

// registerHandlers adds the handlers that start leaving and that return the time
// of the last request.
func (s *shutdownState) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { s.leaving.Store(true) })
	mux.HandleFunc("POST /say-leaving", func(http.ResponseWriter, *http.Request) { s.AnnounceLeaving() })
	mux.Handle("GET /arrival", jsonGetHandler(func() any { return LastRequest{AtMS: s.lastRequestMS.Load()} }))
}

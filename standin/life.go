package standin

import (
	"net/http"
	"time"
)

// ServerOption sets up a stand-in for a server.
type ServerOption func(*life)

// WithEnd has deadly requests end a server. End must break its connections off.
func WithEnd(end func(path string)) ServerOption { return func(l *life) { l.crash.end = end } }

// WithoutStart has a server tell nobody when it started: only its id names its run.
func WithoutStart() ServerOption { return func(l *life) { l.born = nil } }

// life is one run of a server's process: its name, its end, and what it says of itself.
type life struct {
	id string
	// born is when it started, in ms since 1970; nil where it does not tell.
	born *float64
	departure
	rest
	crash crash
}

func newLife(id string, opts []ServerOption) *life {
	now := float64(time.Now().UnixMilli())
	l := &life{id: id, born: &now}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// serve adds the calls that are the same for all servers: its leaving, its rest, and its
// health.
func (l *life) serve(mux *http.ServeMux) {
	l.departure.serve(mux)
	l.rest.serve(mux)
	mux.HandleFunc("GET /health", l.health)
}

// meant refuses what is meant for another server, and says which one this is.
func (l *life) meant(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != l.id {
		w.Header().Set("Instance-Id", l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (l *life) health(w http.ResponseWriter, r *http.Request) {
	if !l.meant(w, r) {
		return
	}
	w.Header().Set("Instance-Id", l.id)
	if l.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

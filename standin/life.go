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
	limit
	visits
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

// serve adds the calls that are the same for all servers: its leaving, its rest, its
// limit, and its health.
func (l *life) serve(mux *http.ServeMux) {
	l.departure.serve(mux)
	l.rest.serve(mux)
	l.limit.serve(mux)
	l.visits.serve(mux)
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

// admit takes a request in that has been read whole, and reports whether the server goes on
// with it. Where it turns the request away, that is its answer.
func (l *life) admit(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	l.arrived(now)
	leaving := l.mark(w.Header())
	visit := Visit{ID: r.Header.Get("Attempt-Id"), AtMS: now.UnixMilli(), Leaving: leaving, Limit: l.markLimit(w.Header())}
	ask, away := l.turnsAway(now)
	if away {
		visit.AskedMS = askedMS(ask)
	}
	l.note(visit)
	if !away {
		return true
	}
	if ask != "" {
		w.Header().Set("Retry-After", ask)
	}
	w.Header().Set("Attempt-Id", visit.ID)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
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

package standin

import (
	"net/http"
	"time"
)

// ServerOption sets up a stand-in for a server.
type ServerOption func(*serverBase)

// WithCrash has deadly requests end a server. End must break its connections off.
func WithCrash(end func(path string)) ServerOption {
	return func(l *serverBase) { l.crash.terminate = end }
}

// WithoutStartTime has a server tell nobody when it started: only its id names its run.
func WithoutStartTime() ServerOption { return func(l *serverBase) { l.startMS = nil } }

// serverBase is one run of a server's process: its name, its end, and what it says of itself.
type serverBase struct {
	id string
	// startMS is when it started, in ms since 1970; nil where it does not tell.
	startMS *float64
	shutdownState
	backOffFault
	advertisedLimit
	requestLog
	crash crashFault
}

func newServerBase(id string, opts []ServerOption) *serverBase {
	now := float64(time.Now().UnixMilli())
	l := &serverBase{id: id, startMS: &now}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// registerHandlers adds the calls that are the same for all servers: its leaving, its rest, its
// limit, and its health.
func (l *serverBase) registerHandlers(mux *http.ServeMux) {
	l.shutdownState.registerHandlers(mux)
	l.backOffFault.registerHandlers(mux)
	l.advertisedLimit.registerHandlers(mux)
	l.requestLog.registerHandlers(mux)
	mux.HandleFunc("GET /health", l.handleHealth)
}

// acceptInstance refuses what is meant for another server, and says which one this is.
func (l *serverBase) acceptInstance(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != l.id {
		w.Header().Set("Instance-Id", l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// admitRequest takes a request in that has been read whole, and reports whether the server goes on
// with it. Where it turns the request away, that is its answer.
func (l *serverBase) admitRequest(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	l.recordRequestTime(now)
	leaving := l.setLeavingHeader(w.Header())
	visit := ReceivedRequest{ID: r.Header.Get("Attempt-Id"), AtMS: now.UnixMilli(), Leaving: leaving, Limit: l.setLimitHeader(w.Header())}
	ask, away := l.rejection(now)
	if away {
		visit.BackOffMS = retryAfterMS(ask)
	}
	l.recordReceived(visit)
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

func (l *serverBase) handleHealth(w http.ResponseWriter, r *http.Request) {
	if !l.acceptInstance(w, r) {
		return
	}
	w.Header().Set("Instance-Id", l.id)
	if l.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

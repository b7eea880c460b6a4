package standin

import (
	"net/http"
	"time"
)

// ServerOption sets an option of a stand-in server.
type ServerOption func(*serverBase)

// WithCrash sets the function that a request with CrashPath or CrashPart calls to
// crash the server, with the path or the part. The function must close the
// server's connections.
func WithCrash(terminate func(cause string)) ServerOption {
	return func(s *serverBase) { s.crash.terminate = terminate }
}

// WithExecutionHandler sets a function that an engine calls with an attempt's id before it executes it.
func WithExecutionHandler(f func(id string)) ServerOption {
	return func(s *serverBase) { s.onExecute = f }
}

// WithoutStartTime omits the start time from the server's entry and reports, so
// that only its id identifies its incarnation.
func WithoutStartTime() ServerOption { return func(s *serverBase) { s.startMS = nil } }

// serverBase is the common part of stand-in servers: the identity of one
// incarnation, its status and its injected faults.
type serverBase struct {
	id string
	// startMS is the start time in ms since 1970; nil if it is not reported.
	startMS *float64
	shutdownState
	backOffFault
	advertisedLimit
	requestLog
	crash     crashFault
	onExecute func(id string)
}

func newServerBase(id string, opts []ServerOption) *serverBase {
	now := float64(time.Now().UnixMilli())
	s := &serverBase{id: id, startMS: &now, onExecute: func(string) {}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// registerHandlers adds the handlers that all stand-in servers have: shutdown,
// back-off, advertised limit, received requests and health.
func (s *serverBase) registerHandlers(mux *http.ServeMux) {
	s.shutdownState.registerHandlers(mux)
	s.backOffFault.registerHandlers(mux)
	s.advertisedLimit.registerHandlers(mux)
	s.requestLog.registerHandlers(mux)
	mux.HandleFunc("GET /health", s.handleHealth)
}

// acceptInstance reports whether a request is for this instance. If not, it
// responds with status 421 and this instance's id.
func (s *serverBase) acceptInstance(w http.ResponseWriter, r *http.Request) bool {
	if instance := r.Header.Get("Expect-Instance"); instance != "" && instance != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// admitRequest records a request whose body was read, sets the headers of the
// server's status, and reports whether the request may be executed. If not, it
// responds with status 503.
func (s *serverBase) admitRequest(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	s.recordRequestTime(now)
	leaving := s.setLeavingHeader(w.Header())
	received := ReceivedRequest{ID: r.Header.Get("Attempt-Id"), AtMS: now.UnixMilli(), Leaving: leaving, Limit: s.setLimitHeader(w.Header())}
	retryAfter, rejected := s.rejection(now)
	if rejected {
		received.BackOffMS = retryAfterMS(retryAfter)
	}
	s.recordReceived(received)
	if !rejected {
		return true
	}
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.Header().Set("Attempt-Id", received.ID)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

func (s *serverBase) handleHealth(w http.ResponseWriter, r *http.Request) {
	if !s.acceptInstance(w, r) {
		return
	}
	w.Header().Set("Instance-Id", s.id)
	if s.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

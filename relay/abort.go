package relay

import (
	"net/http"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// Abort ends the requests in progress without the decider, which may have failed: each session ends its own
// by what it knows of it. Requests that arrive later are refused.
func (r *Relay) Abort() {
	r.stopping.Store(true)
	r.abortOnce.Do(func() { close(r.aborted) })
}

// handleAbort ends the request because the node fails.
func (s *session) handleAbort() bool {
	return s.deliverReady() || s.endUndecided(dispatch.ReasonNodeFailed, http.StatusBadGateway)
}

// endUndecided ends the request without a decision. The status is for a request that may have been
// executed.
func (s *session) endUndecided(reason dispatch.Reason, status int) bool {
	if s.answer.started() {
		s.abortAnswer(reason)
		return true
	}
	retryAfter := clock.Millis(0)
	if s.attempt == nil && !s.mayHaveExecuted {
		status, retryAfter = http.StatusServiceUnavailable, overloadRetryAfter
	}
	s.logRefusal(dispatch.RespondCmd{Request: s.id, Status: status, Reason: reason, RetryAfter: retryAfter})
	s.respondError(status, reason, retryAfter)
	return true
}

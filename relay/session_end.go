package relay

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// handleTimeout ends a request whose time is up.
func (s *session) handleTimeout() bool {
	if s.answer.started() {
		s.abortAnswer(dispatch.ReasonTimeout)
		return true
	}
	status, back := http.StatusGatewayTimeout, clock.Millis(0)
	if s.attempt == nil && s.attempts == 0 {
		status, back = http.StatusServiceUnavailable, overloadRetryAfter
	}
	s.logRefusal(dispatch.RespondCmd{Request: s.id, Status: status, Reason: dispatch.ReasonTimeout, RetryAfter: back})
	s.respondError(status, dispatch.ReasonTimeout, back)
	return true
}

// respondError gives an answer of the node's own.
func (s *session) respondError(status int, reason dispatch.Reason, back clock.Millis) {
	s.relay.stats.count("own_" + string(reason))
	if err := s.answer.writeError(status, string(reason), back); err != nil {
		s.logCallerLost(err)
	}
}

// abortAnswer leaves an answer that cannot go on as it is. ServeHTTP breaks it off, so that
// it does not look whole.
func (s *session) abortAnswer(reason dispatch.Reason) {
	s.log.Warn("cut", s.outcomeFields(zap.String("reason", string(reason)), zap.String("last_event", s.lastEventID))...)
	s.relay.stats.count("cut")
	s.outcomeLogged = true
}

// release gives back what the request has taken.
func (s *session) release() {
	s.cancelAttempt()
	s.deadlineTimer.Stop()
	s.relay.decider.notify(s.relay.lifetime, dispatch.RequestEndedMsg{Request: s.id})
}

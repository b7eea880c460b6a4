package relay

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// handleTimeout ends a request whose deadline has passed.
func (s *session) handleTimeout() bool {
	return s.endUndecided(dispatch.ReasonTimeout, http.StatusGatewayTimeout)
}

// endAtStop ends the request because the node ends.
func (s *session) endAtStop(answer dispatch.RespondCmd) {
	if s.answer.started() {
		s.abortAnswer(answer.Reason)
		return
	}
	s.logRefusal(answer)
	s.respondError(answer.Status, answer.Reason, answer.RetryAfter)
}

// respondError answers the request with an error of this node.
func (s *session) respondError(status int, reason dispatch.Reason, retryAfter clock.Millis) {
	s.relay.stats.count("own_" + string(reason))
	if err := s.answer.writeError(status, string(reason), retryAfter); err != nil {
		s.logCallerLost(err)
	}
}

// abortAnswer logs that an answer cannot be completed. ServeHTTP then aborts it, so that the
// caller does not take it for complete.
func (s *session) abortAnswer(reason dispatch.Reason) {
	s.log.Warn("cut", s.outcomeFields(zap.String("reason", string(reason)), zap.String("last_event", s.lastEventID))...)
	s.relay.stats.count("cut")
	s.outcomeLogged = true
}

// release cancels the current attempt and reports the end of the request to the decider.
func (s *session) release() {
	s.cancelAttempt()
	s.deadlineTimer.Stop()
	s.relay.decider.notify(s.relay.lifetime, dispatch.RequestEndedMsg{Request: s.id})
}

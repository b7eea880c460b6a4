package relay

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// timeUp ends a request whose time is up.
func (s *session) timeUp() bool {
	if s.w.begun() {
		s.cut(dispatch.ReasonTimeout)
		return true
	}
	status, back := http.StatusGatewayTimeout, clock.Millis(0)
	if s.attempt == nil && s.attempts == 0 {
		status, back = http.StatusServiceUnavailable, overloadBack
	}
	s.logFinish(dispatch.RespondCmd{Request: s.id, Status: status, Reason: dispatch.ReasonTimeout, RetryAfter: back})
	s.answer(status, dispatch.ReasonTimeout, back)
	return true
}

// answer gives an answer of the node's own.
func (s *session) answer(status int, reason dispatch.Reason, back clock.Millis) {
	s.relay.stats.count("own_" + string(reason))
	if err := s.w.own(status, string(reason), back); err != nil {
		s.logLost(err)
	}
}

// cut leaves an answer that cannot go on as it is. ServeHTTP breaks it off, so that
// it does not look whole.
func (s *session) cut(reason dispatch.Reason) {
	s.log.Warn("cut", s.fields(zap.String("reason", string(reason)), zap.String("last_event", s.lastEvent))...)
	s.relay.stats.count("cut")
	s.explained = true
}

// end gives back what the request has taken.
func (s *session) end() {
	s.drop()
	s.giveUp.Stop()
	s.relay.decider.tell(s.relay.life, dispatch.RequestEndedMsg{Request: s.id})
}

package lab

import (
	"net/http"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// session is a try of a caller at a node.
type session struct {
	node    *node
	id      dispatch.RequestID
	caller  *caller
	attempt *attempt
	// events are those that the caller has of this try.
	events int
	// arrived tells that it has reached an engine: what comes later is a repeat.
	arrived bool
}

// take passes events on.
func (s *session) take(events int, pause clock.Millis) {
	s.events += events
	s.caller.hears(pause)
}

// end ends the try at its node.
func (s *session) end() {
	delete(s.node.sessions, s.id)
	s.node.tell(dispatch.RequestEndedMsg{Request: s.id})
}

// obey does what the node's model says.
func (s *session) obey(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		s.send(cmd)
	case dispatch.MigrateCmd:
		if s.attempt != nil && s.attempt.cmd.Attempt == cmd.Attempt {
			s.attempt.move(cmd)
		}
	case dispatch.RecheckAttemptCmd:
		s.reconsider(cmd)
	case dispatch.RespondCmd:
		s.end()
		if cmd.Status == http.StatusServiceUnavailable {
			s.caller.refused(cmd.Reason, cmd.RetryAfter)
		} else {
			s.caller.failed(string(cmd.Reason))
		}
	case dispatch.AbortResponseCmd:
		s.end()
		s.caller.failed(string(cmd.Reason))
	case dispatch.RelayFailureCmd:
		s.end()
		s.caller.failed("failed by its engine")
	}
}

// reconsider looks after a stream that passes an engine under suspicion.
func (s *session) reconsider(cmd dispatch.RecheckAttemptCmd) {
	a := s.attempt
	if a == nil || a.over || a.cmd.Attempt != cmd.Attempt || a.still == nil {
		return
	}
	a.found(a.plan)
}

// leave ends the try since its caller has left, or its node was killed.
func (s *session) leave() {
	if s.attempt != nil && !s.attempt.over {
		s.attempt.drop()
	}
	if s.node.up {
		s.end()
	}
}

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
	// receivedEvents are those that the caller has of this try.
	receivedEvents int
	// reachedEngine tells that it has reached an engine: what comes later is a repeat.
	reachedEngine bool
}

// deliverEvents passes events on.
func (s *session) deliverEvents(events int, pause clock.Millis) {
	s.receivedEvents += events
	s.caller.recordEvents(pause)
}

// finish ends the try at its node.
func (s *session) finish() {
	delete(s.node.sessions, s.id)
	s.node.update(dispatch.RequestEndedMsg{Request: s.id})
}

// execute does what the node's model says.
func (s *session) execute(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		s.send(cmd)
	case dispatch.MigrateCmd:
		if s.attempt != nil && s.attempt.cmd.Attempt == cmd.Attempt {
			s.attempt.migrate(cmd)
		}
	case dispatch.RecheckAttemptCmd:
		s.recheck(cmd)
	case dispatch.RespondCmd:
		s.finish()
		if cmd.Status == http.StatusServiceUnavailable {
			s.caller.handleRefusal(cmd.Reason, cmd.RetryAfter)
		} else {
			s.caller.handleFailure(string(cmd.Reason))
		}
	case dispatch.AbortResponseCmd:
		s.finish()
		s.caller.handleFailure(string(cmd.Reason))
	case dispatch.RelayFailureCmd:
		s.finish()
		s.caller.handleFailure("failed by its engine")
	}
}

// recheck looks after a stream that passes an engine under suspicion.
func (s *session) recheck(cmd dispatch.RecheckAttemptCmd) {
	a := s.attempt
	if a == nil || a.finished || a.cmd.Attempt != cmd.Attempt || a.stalledOn == nil {
		return
	}
	a.reportStall(a.planVersion)
}

// abandon ends the try since its caller has left, or its node was killed.
func (s *session) abandon() {
	if s.attempt != nil && !s.attempt.finished {
		s.attempt.cancel()
	}
	if s.node.running {
		s.finish()
	}
}

package lab

import (
	"net/http"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// session is one try of a caller at a node.
type session struct {
	node    *node
	id      dispatch.RequestID
	caller  *caller
	attempt *attempt
	// receivedEvents is the number of events that the caller has received in this try.
	receivedEvents int
	// reachedEngine reports whether an attempt has reached an engine; later arrivals are
	// repeats.
	reachedEngine bool
	// resumedFrom is the number of events that the caller had before this try.
	resumedFrom int
	// ended reports whether the try has ended at its node.
	ended bool
	// forwardAttempt is the attempt that passes the request on to another node, and taken the try at
	// that node; zero and nil for none.
	forwardAttempt int
	taken          *session
	// origin is the try at the node that has passed this one on in its attempt originAttempt; nil for
	// a caller's own try.
	origin        *session
	originAttempt int
}

// deliverEvents delivers events to the caller.
func (s *session) deliverEvents(events int, gap clock.Millis) {
	s.receivedEvents += events
	if s.origin != nil {
		s.relayToOrigin(events)
	}
	s.caller.recordEvents(gap)
}

// finish ends the try at its node.
func (s *session) finish() {
	s.ended = true
	delete(s.node.sessions, s.id)
	s.node.update(dispatch.RequestEndedMsg{Request: s.id})
}

// execute executes a command of the dispatcher for this request.
func (s *session) execute(cmd dispatch.Cmd) {
	if s.origin != nil && endsRequest(cmd) {
		s.finish()
		s.reportToOrigin(cmd)
		return
	}
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		if cmd.Node != "" {
			s.forward(cmd)
			return
		}
		s.send(cmd)
	case dispatch.MigrateCmd:
		if s.attempt != nil && s.attempt.cmd.Attempt == cmd.Attempt {
			s.attempt.migrate(cmd)
		}
	case dispatch.RecheckAttemptCmd:
		s.recheck(cmd)
	case dispatch.AbandonCmd:
		if a := s.attempt; a != nil && a.cmd.Attempt == cmd.Attempt && !a.finished && s.receivedEvents == 0 {
			a.fail(dispatch.CauseNoProgress, "")
		}
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

// endsRequest reports whether a command ends its request.
func endsRequest(cmd dispatch.Cmd) bool {
	switch cmd.(type) {
	case dispatch.RespondCmd, dispatch.AbortResponseCmd, dispatch.RelayFailureCmd:
		return true
	default:
		return false
	}
}

// recheck checks a stalled stream whose chain includes a suspected engine.
func (s *session) recheck(cmd dispatch.RecheckAttemptCmd) {
	a := s.attempt
	if a == nil || a.finished || a.cmd.Attempt != cmd.Attempt || a.stalledOn == nil {
		return
	}
	a.reportStall(a.planVersion)
}

// abandon ends the try because its caller has stopped waiting or its node was killed.
func (s *session) abandon() {
	if s.attempt != nil && !s.attempt.finished {
		s.attempt.cancel()
	}
	if s.taken != nil && !s.taken.ended {
		s.taken.abandon()
	}
	if s.node.running {
		s.finish()
	}
}

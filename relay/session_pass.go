package relay

import (
	"net/http"

	"github.com/hoistjunction/hoistjunction/dispatch"
)

// handleUpdate deals with what the attempt brings, and reports whether the request is
// over.
func (s *session) handleUpdate(p attemptUpdate) bool {
	s.lastUpdateAt = s.relay.clock.Now()
	s.quietSince = s.lastUpdateAt
	s.silenceTimer.Stop()
	switch {
	case p.failed:
		s.failAttempt(p.cause, p.faultyAddress, p.status, p.err)
		return false
	case p.head != nil && p.head.StatusCode >= http.StatusInternalServerError && p.end:
		return s.holdUpstreamFailure(p)
	}
	if err := s.writeUpdate(p); err != nil {
		s.logCallerLost(err)
		return true
	}
	if p.end {
		s.answer.end()
		s.completeAttempt(p)
		return true
	}
	if len(p.event.raw) > 0 {
		s.timing.record(s.lastUpdateAt)
	}
	s.resetStallTimer()
	return false
}

// holdUpstreamFailure keeps a failure that the upstream answered with, and asks
// whether another may try.
func (s *session) holdUpstreamFailure(p attemptUpdate) bool {
	s.upstreamFailure = &p
	s.failAttempt(dispatch.CauseUpstreamFailed, "", p.status, nil)
	return false
}

// writeUpdate writes a piece to the caller.
func (s *session) writeUpdate(p attemptUpdate) error {
	if p.head != nil && !s.answer.started() {
		if p.end && len(p.event.raw) == 0 {
			return s.answer.complete(p.head, p.data)
		}
		if err := s.answer.writeHead(p.head); err != nil {
			return err
		}
	}
	if len(p.event.raw) == 0 {
		return s.answer.writeBody(p.data)
	}
	return s.writeEvent(p.event)
}

// writeEvent writes an event, once: a resumed stream may begin with what the
// caller has already.
func (s *session) writeEvent(ev event) error {
	if ev.hasNumber && s.hasEventNumber {
		if ev.number <= s.lastEventNumber {
			return nil
		}
	}
	if err := s.answer.writeBody(ev.raw); err != nil {
		return err
	}
	s.recordEvent()
	s.eventWithoutID = !ev.hasNumber
	if ev.hasNumber {
		s.lastEventID, s.lastEventNumber, s.hasEventNumber = ev.id, ev.number, true
	}
	return nil
}

// recordEvent takes in that the caller has one more event.
func (s *session) recordEvent() {
	now := s.relay.clock.Now()
	s.events++
	if s.events == 1 {
		s.firstEvent = s.age()
		s.relay.stats.firstEvent(s.firstEvent)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// completeAttempt ends a request whose answer is out.
func (s *session) completeAttempt(p attemptUpdate) {
	status := http.StatusOK
	if p.head != nil {
		status = p.head.StatusCode
	}
	s.relay.decider.notify(s.relay.lifetime, dispatch.AttemptDoneMsg{
		Request: s.id, Attempt: s.attempt.cmd.Attempt, Took: s.relay.clock.Now().Sub(s.sentAt),
		UpstreamFailed: status >= http.StatusInternalServerError,
	})
	s.logAnswer(status)
}

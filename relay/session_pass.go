package relay

import (
	"net/http"

	"github.com/hoistjunction/hoistjunction/dispatch"
)

// take deals with what the attempt brings, and reports whether the request is
// over.
func (s *session) take(p piece) bool {
	s.lastPiece = s.relay.clock.Now()
	s.since = s.lastPiece
	s.doubt.Stop()
	switch {
	case p.failed:
		s.attemptFailed(p.cause, p.at, p.word, p.err)
		return false
	case p.head != nil && p.head.StatusCode >= http.StatusInternalServerError && p.end:
		return s.upstreamFailed(p)
	}
	if err := s.pass(p); err != nil {
		s.logLost(err)
		return true
	}
	if p.end {
		s.w.end()
		s.done(p)
		return true
	}
	if len(p.event.raw) > 0 {
		s.rhythm.note(s.lastPiece)
	}
	s.armStall()
	return false
}

// upstreamFailed keeps a failure that the upstream answered with, and asks
// whether another may try.
func (s *session) upstreamFailed(p piece) bool {
	s.held = &p
	s.attemptFailed(dispatch.CauseUpstreamFailed, "", p.word, nil)
	return false
}

// pass writes a piece to the caller.
func (s *session) pass(p piece) error {
	if p.head != nil && !s.w.begun() {
		if p.end && len(p.event.raw) == 0 {
			return s.w.whole(p.head, p.data)
		}
		if err := s.w.begin(p.head); err != nil {
			return err
		}
	}
	if len(p.event.raw) == 0 {
		return s.w.piece(p.data)
	}
	return s.passEvent(p.event)
}

// passEvent writes an event, once: a resumed stream may begin with what the
// caller has already.
func (s *session) passEvent(ev event) error {
	if ev.hasID && s.hasNumber {
		if ev.number <= s.lastNumber {
			return nil
		}
	}
	if err := s.w.piece(ev.raw); err != nil {
		return err
	}
	s.noteEvent()
	s.unnamed = !ev.hasID
	if ev.hasID {
		s.lastEvent, s.lastNumber, s.hasNumber = ev.id, ev.number, true
	}
	return nil
}

// noteEvent takes in that the caller has one more event.
func (s *session) noteEvent() {
	now := s.relay.clock.Now()
	s.events++
	if s.events == 1 {
		s.first = s.age()
		s.relay.stats.first(s.first)
	} else {
		s.pause = max(s.pause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// done ends a request whose answer is out.
func (s *session) done(p piece) {
	status := http.StatusOK
	if p.head != nil {
		status = p.head.StatusCode
	}
	s.relay.decider.tell(s.relay.life, dispatch.AttemptDoneMsg{
		Request: s.id, Attempt: s.attempt.cmd.Attempt, Took: s.relay.clock.Now().Sub(s.sent),
		UpstreamFailed: status >= http.StatusInternalServerError,
	})
	s.logAnswer(status)
}

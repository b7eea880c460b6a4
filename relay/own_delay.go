package relay

import (
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/overload"
)

// ExtendedLimit returns the time for which this node waits for what is due within a limit. What has
// arrived may lie unread for as long as the node itself is late.
func (r *Relay) ExtendedLimit(limit clock.Millis) clock.Millis {
	return overload.Extend(limit, r.ownDelay())
}

// postpone sets a timer anew if what is awaited since a time may have arrived within its limit, and
// reports whether it has. The timer fires again at the end of the extended limit.
func (s *session) postpone(timer *time.Timer, since, limit clock.Millis) bool {
	left := since.Add(s.relay.ExtendedLimit(limit)).Sub(s.relay.clock.Now())
	if left <= 0 {
		return false
	}
	timer.Reset(left.Duration())
	return true
}

// handleAttemptTimeout abandons the attempt once its time is up.
func (s *session) handleAttemptTimeout() {
	if s.attempt != nil && !s.postpone(s.attemptTimer, s.sentAt, s.attempt.cmd.AttemptTimeout) {
		s.abandon(s.attemptAddress(), "attempt_time_is_up", false)
	}
}

// handleFirstEventLimit reports to the decider that the attempt still has no event.
func (s *session) handleFirstEventLimit() {
	if s.attempt != nil && s.events == 0 && !s.postpone(s.firstEventTimer, s.sentAt, s.attempt.cmd.FirstEventLimit) {
		s.firstEventOverdue()
	}
}

// handleSilence closes the idle connections to an upstream that has sent nothing for long.
func (s *session) handleSilence() {
	if !s.postpone(s.silenceTimer, s.sentAt, maxConnectionSilence) {
		s.closeSilentConnections()
	}
}

// stallLimit returns the pause after which the stream counts as stalled.
func (s *session) stallLimit() clock.Millis {
	if !s.attemptBegun {
		return firstEventStall
	}
	return s.timing.stallThreshold()
}

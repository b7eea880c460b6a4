package relay

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/dispatch"
)

// handleUpdate handles an update of the attempt and reports whether the request has ended.
func (s *session) handleUpdate(update attemptUpdate) bool {
	s.silenceTimer.Stop()
	if s.isRepeated(update.event) {
		// The caller receives nothing, so the pause that counts for stall checks goes on.
		return false
	}
	s.lastUpdateAt = s.relay.clock.Now()
	s.quietSince = s.lastUpdateAt
	s.suspectedAddress = ""
	switch {
	case update.failed:
		msg := dispatch.AttemptFailedMsg{Cause: update.cause, FaultyAddress: update.faultyAddress, Refusal: update.refusal}
		s.endFailedAttempt(msg, update.status, update.err)
		return false
	case update.head != nil && !s.answer.started() && !s.route.MayRepeat() && promisesNotExecuted(update.head.StatusCode):
		return s.replacePromise(update)
	case update.head != nil && update.head.StatusCode >= http.StatusInternalServerError && update.end:
		return s.holdUpstreamFailure(update)
	}
	if len(update.event.raw) > 0 && !s.attemptBegun {
		s.attemptBegun = true
		s.recordFirstEvent()
	}
	if err := s.writeUpdate(update); err != nil {
		s.logCallerLost(err)
		return true
	}
	if update.end {
		s.answer.end()
		s.completeAttempt(update)
		return true
	}
	if len(update.event.raw) > 0 {
		s.timing.record(s.lastUpdateAt)
	}
	s.resetStallTimer()
	return false
}

// deliverReady handles the updates that have arrived from the attempt, and reports whether the request has
// ended. It comes before whatever gives up the attempt: a whole answer may have arrived at the same time.
func (s *session) deliverReady() bool {
	for range maxQueuedUpdates {
		if s.attempt == nil {
			return false
		}
		select {
		case update := <-s.attempt.updates:
			if s.handleUpdate(update) {
				return true
			}
		default:
			return false
		}
	}
	return false
}

// promisesNotExecuted reports whether a status tells a caller that its request was not executed and
// never will be.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// replacePromise ends a request that may be executed once and that an upstream has answered with a
// status that promises too much: it did not say that it has not executed the request. The caller
// gets a failure of this node's, which promises nothing.
func (s *session) replacePromise(update attemptUpdate) bool {
	s.relay.stats.count("promises_replaced")
	s.log.Info("promise_replaced", zap.String("id", s.head.ID), zap.Stringer("upstream", update.upstream), zap.Int("status", update.head.StatusCode))
	s.relay.decider.notify(s.relay.lifetime, dispatch.AttemptDoneMsg{
		Request: s.id, Attempt: s.attempt.cmd.Attempt, Took: s.relay.clock.Now().Sub(s.sentAt), UpstreamFailed: true,
	})
	s.respondError(http.StatusBadGateway, dispatch.ReasonAnswerLost, 0)
	return true
}

// holdUpstreamFailure stores a 5xx answer of the upstream and reports the failure to the
// decider, which may try another upstream.
func (s *session) holdUpstreamFailure(update attemptUpdate) bool {
	s.upstreamFailure = &update
	s.failAttempt(dispatch.CauseUpstreamFailed, update.status, nil)
	return false
}

// writeUpdate writes an update to the caller.
func (s *session) writeUpdate(update attemptUpdate) error {
	if update.head != nil && !s.answer.started() {
		if update.end && len(update.event.raw) == 0 {
			return s.answer.complete(update.head, update.upstream, update.data)
		}
		if err := s.answer.writeHead(update.head, update.upstream); err != nil {
			return err
		}
	}
	if len(update.event.raw) == 0 {
		return s.answer.writeBody(update.data)
	}
	return s.writeEvent(update.event)
}

// isRepeated reports whether the caller has an event already: a resumed stream may begin with events sent
// before.
func (s *session) isRepeated(ev event) bool {
	return ev.hasNumber && s.hasEventNumber && ev.number <= s.lastEventNumber
}

// writeEvent writes an event to the caller.
func (s *session) writeEvent(ev event) error {
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

// recordEvent records that an event was written to the caller.
func (s *session) recordEvent() {
	now := s.relay.clock.Now()
	s.events++
	if s.events == 1 {
		s.firstEvent = s.age()
		s.firstEventTimer.Stop()
		s.relay.stats.firstEvent(s.firstEvent)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// completeAttempt reports a complete answer to the decider and logs it.
func (s *session) completeAttempt(update attemptUpdate) {
	status := http.StatusOK
	if update.head != nil {
		status = update.head.StatusCode
	}
	s.relay.decider.notify(s.relay.lifetime, dispatch.AttemptDoneMsg{
		Request: s.id, Attempt: s.attempt.cmd.Attempt, Took: s.relay.clock.Now().Sub(s.sentAt),
		UpstreamFailed: status >= http.StatusInternalServerError,
	})
	s.logAnswer(status)
}

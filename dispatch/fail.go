package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// attemptFailed decides what follows a failed attempt: another one, the
// upstream's own failure, or an answer of the node's.
func (m *Model) attemptFailed(msg AttemptFailedMsg) []Cmd {
	r := m.requests[msg.Request]
	if r == nil || msg.Attempt != r.attempts {
		return nil
	}
	cmds := append(m.recordFault(r, msg), m.recordLoss(r, msg)...)
	m.recordExecution(r, msg)
	if msg.Cause == CauseFull && r.service.Pipeline == nil {
		r.slotRefusals++
	}
	r.deliveredEvents, r.delivered = msg.Events, msg.Delivered
	m.endAttempt(r)
	return append(cmds, m.afterFailure(r, msg)...)
}

func (m *Model) afterFailure(r *request, msg AttemptFailedMsg) []Cmd {
	reason := m.retryDenial(r, msg.Cause)
	if reason == ReasonNoRetryBudget && msg.Cause == CauseFull && r.service.Pipeline == nil {
		// It goes on when the budget allows, as it does when there is a place.
		return m.awaitSlot(r)
	}
	if reason != "" {
		return m.endAfterFailure(r, msg, reason)
	}
	cmds := m.resend(r)
	if r.awaitsSlot && msg.Cause.spendsRetryBudget() {
		// The repeat is paid for when it is made.
		m.budget(r.service.Name).Refund(m.now)
	}
	if slices.ContainsFunc(cmds, isSendCmd) || !r.permitUpstream.IsZero() || r.awaitsSlot {
		return cmds
	}
	if m.requests[r.arrival.Request] == nil && msg.Cause.spendsRetryBudget() {
		// There was nobody to send it to.
		m.budget(r.service.Name).Refund(m.now)
	}
	if msg.Cause == CauseUpstreamFailed && !r.answerBegun() {
		return m.relayFailure(r, msg)
	}
	return cmds
}

// spendsRetryBudget tells whether another attempt takes from the budget of repeats: where the request
// has reached an upstream.
func (c Cause) spendsRetryBudget() bool { return c != CauseNotSent && c != CauseStaleConfig }

func isSendCmd(cmd Cmd) bool {
	_, ok := cmd.(SendCmd)
	return ok
}

// retryDenial returns why a request may not be sent again, or nothing.
func (m *Model) retryDenial(r *request, cause Cause) Reason {
	ran := cause == CauseUnknown || cause == CauseNoProgress || cause == CauseUpstreamFailed
	switch {
	case r.delivered == DeliveredPartial:
		return ReasonAnswerLost
	case ran && !r.route.MayRepeat():
		return ReasonAnswerLost
	case cause == CauseUpstreamFailed && r.route.Kind == 0:
		return ReasonAnswerLost
	case !r.mayExecuteAgain(), r.attempts-r.slotRefusals >= maxAttempts:
		return ReasonRefused
	case r.timeLeft(m.now) < minTimeLeft:
		return ReasonTimeout
	case cause.spendsRetryBudget() && !m.budget(r.service.Name).TryWithdraw(m.now):
		return ReasonNoRetryBudget
	}
	return ""
}

// endAfterFailure ends a request after its last attempt.
func (m *Model) endAfterFailure(r *request, msg AttemptFailedMsg, reason Reason) []Cmd {
	if r.answerBegun() {
		return m.giveUp(r, reason)
	}
	if msg.Cause == CauseUpstreamFailed {
		return m.relayFailure(r, msg)
	}
	return m.giveUp(r, reason)
}

func (m *Model) relayFailure(r *request, msg AttemptFailedMsg) []Cmd {
	return m.respondOrAbort(r.arrival.Request, RelayFailureCmd{Request: r.arrival.Request, Attempt: msg.Attempt}, ReasonAnswerLost)
}

// recordFault notes what an attempt's failure says about an upstream.
func (m *Model) recordFault(r *request, msg AttemptFailedMsg) []Cmd {
	if msg.Cause == CauseStaleConfig {
		return nil
	}
	if r.firstUpstream != nil {
		r.triedUpstreams[r.firstUpstream.entry.ID] = true
	}
	at := m.faultyUpstream(r, msg)
	if at == nil {
		return nil
	}
	r.triedUpstreams[at.entry.ID] = true
	switch msg.Cause {
	case CauseFull:
		if at.inBackOff(m.now) {
			// It has said for how long.
			return nil
		}
		at.refusedAsFirst = at == r.firstUpstream
		at.recordRefusal(m.now)
		return nil
	case CauseMisdirected:
		at.recordMisdirected(m.now)
		return nil
	case CauseUpstreamFailed:
		at.recordAnswer(m.now.Sub(r.arrivedAt), true)
		return nil
	default:
		at.recordAnswer(m.now.Sub(r.arrivedAt), true)
		return m.suspect(at, msg.Cause, r)
	}
}

// faultyUpstream returns the upstream that a failure speaks against. An attempt that
// was taken back for want of events speaks against nobody, unless somebody was
// found silent.
func (m *Model) faultyUpstream(r *request, msg AttemptFailedMsg) *upstream {
	if at, ok := r.upstreamAt(msg.FaultyAddress); ok {
		// Who has ended since cannot be blamed, nor can who has its address now.
		return m.upstreams[at]
	}
	if msg.Cause == CauseNoProgress {
		return nil
	}
	return r.firstUpstream
}

// suspect keeps an upstream from getting work until a probe has found it well,
// and tells the other streams that pass it.
func (m *Model) suspect(u *upstream, cause Cause, by *request) []Cmd {
	u.suspicionCause = cause
	if u.suspected && m.now < u.avoidUntil {
		return nil
	}
	until := u.recordSuspicion(m.now)
	cmds := []Cmd{SuspectCmd{Upstream: u.entry.ID, Until: until, Failures: u.failures, Cause: cause}}
	if u.pipeline == nil {
		return cmds
	}
	return append(cmds, m.recheckAttempts(u, by)...)
}

// recheckAttempts tells the streams that pass an engine under suspicion, but for one that
// has found it out.
func (m *Model) recheckAttempts(u *upstream, by *request) []Cmd {
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r := m.requests[id]; r != by && r.passesThrough(u.entry.ID) {
			cmds = append(cmds, RecheckAttemptCmd{Request: id, Attempt: r.attempts, SuspectedAddress: u.entry.Address})
		}
	}
	return cmds
}

func (m *Model) attemptDone(msg AttemptDoneMsg) []Cmd {
	r := m.requests[msg.Request]
	if r == nil || msg.Attempt != r.attempts {
		return nil
	}
	first := r.firstUpstream
	if first != nil {
		first.recordAnswer(msg.Took, msg.UpstreamFailed)
		first.refusals = 0
	}
	if r.route.Kind == catalog.Streaming {
		m.recordStreamTime(msg.Took)
	}
	for _, p := range r.chain {
		if u := m.upstreams[p.ID]; u != nil {
			u.refusals = 0
		}
	}
	m.dropRequest(msg.Request)
	return append(m.quarantineCmds(m.quarantine.RequestAnswered(m.now, r.work, true)), m.slotFreed(r.service.Name, first)...)
}

package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// attemptFailed decides what follows a failed attempt: another attempt, the upstream's error
// response, or an answer of the node.
func (m *Model) attemptFailed(msg AttemptFailedMsg) []Cmd {
	r := m.inAttempt(msg.Request, msg.Attempt)
	if r == nil {
		return nil
	}
	m.recordForwardFailure(r, msg)
	wasForwarded := r.progress == atNode
	cmds := slices.Concat(m.recordAttemptReach(r, msg), m.recordFault(r, msg), m.recordLoss(r, msg))
	m.recordExecution(r, msg)
	if msg.Cause.reachedUpstream() {
		m.admit(r)
	}
	if msg.Cause == CauseNoProgress && msg.FaultyAddress == "" && msg.Events == 0 {
		m.recordMissingFirstEvent(r)
	}
	if msg.Cause == CauseFull && r.service.Pipeline == nil {
		r.slotRefusals++
	}
	if msg.Cause == CauseNotSent && r.progress == atUpstream && !m.hasAnswered(r.firstUpstream) {
		r.unsentAttempts++
	}
	r.capacity.admitted, r.capacity.hasFailure = false, msg.Cause == CauseUpstreamFailed
	r.deliveredEvents, r.delivered = msg.Events, msg.Delivered
	r.recordPause(m.now, msg.LastEventAt, msg.Events)
	m.endAttempt(r)
	if wasForwarded && msg.Cause == CauseUpstreamFailed {
		// The other node has decided on retries.
		return append(cmds, m.endAfterFailure(r, msg, ReasonAnswerLost)...)
	}
	return append(cmds, m.afterFailure(r, msg)...)
}

func (m *Model) afterFailure(r *request, msg AttemptFailedMsg) []Cmd {
	if msg.Cause == CauseNodeRefused && !msg.Refusal.Reason.concernsNode() {
		return m.relayRefusal(r, msg.Refusal)
	}
	reason := m.retryDenial(r, msg.Cause)
	if reason == ReasonNoRetryBudget && msg.Cause == CauseFull && r.service.Pipeline == nil {
		// The request is sent again once a slot is free and the retry budget allows it.
		r.owesRetry = true
		return m.awaitSlot(r)
	}
	if reason != "" {
		return m.endAfterFailure(r, msg, reason)
	}
	if r.boundsPauses() && r.answerBegun() && msg.Cause.spendsRetryBudget() {
		return m.awaitResume(r)
	}
	cmds := m.resend(r)
	if r.waits() && msg.Cause.spendsRetryBudget() {
		// The retry is charged when the request is sent again.
		m.budget(r.service.Name).Refund(m.now)
		r.owesRetry = true
	}
	if r.sentOrAwaitsPermit() || r.waits() {
		return cmds
	}
	if r.progress == ended && msg.Cause.spendsRetryBudget() {
		// The retry was not sent, because no upstream was available.
		m.budget(r.service.Name).Refund(m.now)
	}
	if msg.Cause == CauseUpstreamFailed {
		return relayInstead(cmds, msg)
	}
	return cmds
}

// relayInstead replaces the refusal of a request among commands by the error response of its upstream.
// The others may concern other requests.
func relayInstead(cmds []Cmd, msg AttemptFailedMsg) []Cmd {
	for i, cmd := range cmds {
		if refusal, ok := cmd.(RespondCmd); ok && refusal.Request == msg.Request {
			cmds[i] = RelayFailureCmd{Request: msg.Request, Attempt: msg.Attempt}
		}
	}
	return cmds
}

// reachedUpstream reports whether an attempt with this cause may have reached an upstream.
func (c Cause) reachedUpstream() bool {
	return c != CauseNotSent && c != CauseStaleConfig && c != CauseNodeRefused
}

// spendsRetryBudget reports whether a retry after this cause is charged to the retry budget: only
// if the request reached an upstream.
func (c Cause) spendsRetryBudget() bool { return c.reachedUpstream() }

// retryDenial returns the reason why a request may not be sent again; empty if it may.
func (m *Model) retryDenial(r *request, cause Cause) Reason {
	switch {
	case r.delivered == DeliveredPartial:
		return ReasonAnswerLost
	case cause.MayHaveExecuted() && !r.route.MayRepeat():
		return ReasonAnswerLost
	case cause == CauseUpstreamFailed && r.route.Kind == 0:
		return ReasonAnswerLost
	case !r.mayExecuteAgain(), r.countedAttempts() >= maxAttempts:
		return ReasonRefused
	case r.timeLeft(m.now) < minTimeLeft:
		return ReasonTimeout
	case cause.spendsRetryBudget() && (m.mustQueue(r, retryLane) != "" || !m.takeRetry(r)):
		return ReasonNoRetryBudget
	}
	return ""
}

// endAfterFailure ends a request that may not be sent again after a failed attempt.
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

// recordFault records a failed attempt against the upstream at fault.
func (m *Model) recordFault(r *request, msg AttemptFailedMsg) []Cmd {
	if msg.Cause == CauseStaleConfig {
		return nil
	}
	if r.progress == atUpstream {
		r.triedUpstreams[r.firstUpstream.entry.ID] = true
	}
	faulty := m.faultyUpstream(r, msg)
	if faulty == nil {
		return nil
	}
	r.triedUpstreams[faulty.entry.ID] = true
	switch msg.Cause {
	case CauseFull:
		if faulty.inBackOff(m.now) {
			// The refusal carried Retry-After, which sets the time to avoid the upstream.
			return nil
		}
		faulty.refusedAsFirst = faulty == r.firstUpstream
		faulty.recordRefusal(m.now)
		return nil
	case CauseMisdirected:
		faulty.recordMisdirected(m.now)
		return nil
	case CauseUpstreamFailed:
		faulty.recordAnswer(m.now.Sub(r.arrivedAt), true)
		return nil
	default:
		if msg.Provisional {
			return m.suspectProvisionally(faulty, r)
		}
		faulty.recordAnswer(m.now.Sub(r.arrivedAt), true)
		return m.suspect(faulty, msg.Cause, r)
	}
}

// faultyUpstream returns the upstream at fault for a failed attempt; nil for none. An attempt
// that was canceled for lack of events counts against no upstream unless one was found
// unresponsive.
func (m *Model) faultyUpstream(r *request, msg AttemptFailedMsg) *upstream {
	if id, ok := r.upstreamAt(msg.FaultyAddress); ok {
		// The result is nil if that incarnation has been removed since: another upstream may have
		// its address now.
		return m.upstreams[id]
	}
	if msg.Cause == CauseNoProgress {
		return nil
	}
	return r.firstUpstream
}

// suspect stops sending work to an upstream until a probe succeeds, and makes the other streams
// through it check their progress.
func (m *Model) suspect(u *upstream, cause Cause, reporter *request) []Cmd {
	u.suspicionCause = cause
	if u.suspected && m.now < u.avoidUntil {
		return nil
	}
	until := u.recordSuspicion(m.now)
	cmds := []Cmd{SuspectCmd{Upstream: u.entry.ID, Until: until, Failures: u.failures, Cause: cause}}
	if u.pipeline == nil {
		return cmds
	}
	return append(cmds, m.recheckAttempts(u, reporter)...)
}

// recheckAttempts makes all streams through a suspected engine check their progress, except the
// request that reported it.
func (m *Model) recheckAttempts(u *upstream, reporter *request) []Cmd {
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r := m.requests[id]; r != reporter && r.passesThrough(u.entry.ID) {
			cmds = append(cmds, RecheckAttemptCmd{Request: id, Attempt: r.attempts, SuspectedAddress: u.entry.Address})
		}
	}
	return cmds
}

func (m *Model) attemptDone(msg AttemptDoneMsg) []Cmd {
	r := m.inAttempt(msg.Request, msg.Attempt)
	if r == nil {
		return nil
	}
	if r.progress == atNode {
		m.nodes.RecordServed(m.now, r.forwardedTo, r.service.Name)
	}
	first := r.firstUpstream
	cmds := m.recordAnswered(first)
	if first != nil {
		first.recordAnswer(msg.Took, msg.UpstreamFailed)
		first.refusals = 0
	}
	if r.route.Kind == catalog.Streaming {
		m.recordStream(msg.Took, r.arrival.expectedAnswerTokens())
	}
	for _, p := range r.chain {
		if u := m.upstreams[p.ID]; u != nil {
			u.refusals = 0
		}
	}
	m.dropRequest(msg.Request)
	return slices.Concat(cmds, m.quarantineCmds(m.quarantine.RequestAnswered(m.now, r.work.Content, true)), m.sendWaiters(r.service, first))
}

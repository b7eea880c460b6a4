package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// minServerErrorStatus is the lowest status that says a service has failed.
const minServerErrorStatus = 500

// call sends a request to the plain service that has been chosen.
func (m *Model) call(r *request) {
	u := r.chain[0]
	r.attempt++
	r.sentAt = m.now
	r.timeoutAt = m.now.Add(m.callTimeout(r))
	m.addCmd(&CallCmd{
		Request:     r.id,
		Attempt:     r.attempt,
		Upstream:    u.Name(),
		Address:     u.Listing().Address,
		Path:        r.spec.Path,
		Body:        r.spec.Body,
		ContentType: r.spec.ContentType,
		Key:         r.spec.Key,
		NoRepeat:    r.noRepeat(),
		Timeout:     r.timeoutAt.Sub(m.now),
	})
}

// callTimeout is how long a call may take. One that may be repeated is given up
// early enough to be tried elsewhere; one that may not is waited for.
func (m *Model) callTimeout(r *request) clock.Millis {
	left := max(r.deadline.Sub(m.now), 1)
	if r.noRepeat() || r.attempt >= m.policy.MaxCalls {
		return left
	}
	usual := clock.Millis(r.chain[0].StepMillis() * m.policy.StepLimitFactor)
	if usual == 0 {
		usual = defaultStepTimeout
	}
	return min(left, max(usual, m.policy.LeastStepLimit))
}

// callDone gives a service's whole answer to the callers, or tries again when
// the service failed and the request may be repeated.
func (m *Model) callDone(msg CallDoneMsg) {
	r := m.requests[msg.Request]
	if !r.awaitsCallResult(msg.Attempt) {
		m.stats.Stale++
		return
	}
	u := r.chain[0]
	took := m.now.Sub(r.sentAt)
	m.pool.RecordSuccess(u, took, 1)
	l := r.route.lane
	l.slotMillisPerToken.add(float64(took))
	l.firstTokenMillis.add(float64(took))
	if m.policy.Adapt {
		m.pool.RecordChainTime(m.now, r.chain, took, r.route.firstTokenBound())
	}
	if msg.Status >= minServerErrorStatus {
		m.serviceFailed(r, msg)
		return
	}
	r.firstTokenAt = m.now
	r.route.latencies.recordFirstToken(m.now.Sub(r.arrivedAt))
	m.end(r, FinishCmd{
		Outcome: outcome.Done, Status: msg.Status, ContentType: msg.ContentType, Body: msg.Body,
	})
}

// awaitsCallResult reports whether the request waits for the answer to an attempt.
func (r *request) awaitsCallResult(attempt uint32) bool {
	return r != nil && r.route.isService() && r.phase == phaseRunning && r.attempt == attempt
}

// serviceFailed deals with a service's own word that it failed. For a marked
// request that is the answer.
func (m *Model) serviceFailed(r *request, msg CallDoneMsg) {
	if !r.noRepeat() && m.tryWithdrawRetry(r) {
		m.retryElsewhere(r)
		return
	}
	m.end(r, FinishCmd{
		Outcome: outcome.Failed, Reason: ReasonUpstreamError,
		Status: msg.Status, ContentType: msg.ContentType, Body: msg.Body,
	})
}

// callFailed deals with a call that brought no whole answer.
func (m *Model) callFailed(msg CallFailedMsg) {
	r := m.requests[msg.Request]
	if !r.awaitsCallResult(msg.Attempt) {
		m.stats.Stale++
		return
	}
	if msg.NotSent {
		m.pool.RecordFailure(m.now, r.chain[0], false)
		m.callNotSent(r)
		return
	}
	m.pool.RecordFailure(m.now, r.chain[0], true)
	if !r.noRepeat() && m.tryWithdrawRetry(r) {
		m.retryElsewhere(r)
		return
	}
	m.endUnanswered(r, ReasonUpstreamLost)
}

// callNotSent tries elsewhere, whatever the request: this attempt did not run.
// That holds for the whole request where no attempt before it was sent, and a
// marked one only comes to another attempt when the last was not sent.
func (m *Model) callNotSent(r *request) {
	if r.attempt == 1 || r.noRepeat() {
		m.undoBegun(r)
	}
	if m.tryWithdrawRetry(r) {
		m.retryElsewhere(r)
		return
	}
	m.endWithoutUpstream(r)
}

// tryWithdrawRetry reports whether there is time and budget for another attempt.
// It takes from the budget.
func (m *Model) tryWithdrawRetry(r *request) bool {
	if r.attempt >= m.policy.MaxCalls || m.now >= r.deadline {
		return false
	}
	return r.route.lane.budget.TryWithdraw()
}

// retryElsewhere tries a request again at another upstream.
func (m *Model) retryElsewhere(r *request) {
	m.stats.Retried++
	r.failed = append(r.failed, r.chain[0])
	m.redispatch(r)
}

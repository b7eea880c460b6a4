package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// minServerErrorStatus is the lowest HTTP status that counts as a failure of the service.
const minServerErrorStatus = 500

// call sends a request to the plain service upstream chosen for it.
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

// callTimeout returns the time limit of a call. A repeatable request times out early enough to be
// tried at another upstream; a request that may not be repeated waits until its deadline.
func (m *Model) callTimeout(r *request) clock.Millis {
	left := max(r.deadline.Sub(m.now), 1)
	if r.noRepeat() || r.attempt >= m.policy.MaxCalls {
		return left
	}
	limit := clock.Millis(r.chain[0].StepMillis() * m.policy.StepLimitFactor)
	if limit == 0 {
		limit = defaultStepTimeout
	}
	return min(left, max(limit, m.policy.LeastStepLimit))
}

// callDone gives a service's complete answer to the callers, or retries the call when the service
// failed and the request may be repeated.
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

// awaitsCallResult reports whether the request is waiting for the result of the given attempt.
func (r *request) awaitsCallResult(attempt uint32) bool {
	return r != nil && r.route.isService() && r.phase == phaseRunning && r.attempt == attempt
}

// serviceFailed handles an answer with a server error status. The error is passed to the caller
// when the request may not be repeated or no retry is left.
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

// callFailed handles a call that ended without a complete answer.
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

// callNotSent tries another upstream, also for requests that may not be repeated, because this
// attempt was not executed. The whole request counts as not executed when this was the first
// attempt, or when it may not be repeated: such a request gets another attempt only after one that
// was not sent.
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

// tryWithdrawRetry reports whether another attempt is allowed by the attempt limit, the deadline
// and the retry budget. It withdraws the attempt from the budget.
func (m *Model) tryWithdrawRetry(r *request) bool {
	if r.attempt >= m.policy.MaxCalls || m.now >= r.deadline {
		return false
	}
	return r.route.lane.budget.TryWithdraw()
}

// retryElsewhere sends a request to an upstream that has not failed it before, if there is one.
func (m *Model) retryElsewhere(r *request) {
	m.stats.Retried++
	r.failed = append(r.failed, r.chain[0])
	m.redispatch(r)
}

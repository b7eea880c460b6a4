package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// firstServerError is the lowest status that says a service has failed.
const firstServerError = 500

// call sends a request to the plain service that has been chosen.
func (m *Model) call(r *request) {
	u := r.chain[0]
	r.attempt++
	r.sentAt = m.now
	r.limitAt = m.now.Add(m.callLimit(r))
	m.do(&CallCmd{
		Request:     r.id,
		Attempt:     r.attempt,
		Upstream:    u.Name(),
		Address:     u.Listing().Address,
		Path:        r.spec.Path,
		Body:        r.spec.Body,
		ContentType: r.spec.ContentType,
		Key:         r.spec.Key,
		NoRepeat:    r.marked(),
		Timeout:     r.limitAt.Sub(m.now),
	})
}

// callLimit is how long a call may take. One that may be repeated is given up
// early enough to be tried elsewhere; one that may not is waited for.
func (m *Model) callLimit(r *request) clock.Millis {
	left := max(r.deadline.Sub(m.now), 1)
	if r.marked() || r.attempt >= m.policy.MaxCalls {
		return left
	}
	usual := clock.Millis(r.chain[0].StepMillis() * m.policy.StepLimitFactor)
	if usual == 0 {
		usual = unknownStep
	}
	return min(left, max(usual, m.policy.LeastStepLimit))
}

// callDone gives a service's whole answer to the callers, or tries again when
// the service failed and the request may be repeated.
func (m *Model) callDone(msg CallDoneMsg) {
	r := m.requests[msg.Request]
	if !r.awaitsCall(msg.Attempt) {
		m.stats.Stale++
		return
	}
	u := r.chain[0]
	took := m.now.Sub(r.sentAt)
	m.pool.RecordSuccess(u, took, 1)
	l := r.route.lane
	l.perToken.add(float64(took))
	l.first.add(float64(took))
	if m.policy.Adapt {
		m.pool.RecordChainTime(m.now, r.chain, took, r.route.firstBound())
	}
	if msg.Status >= firstServerError {
		m.serviceFailed(r, msg)
		return
	}
	r.firstAt = m.now
	r.route.times.recordFirst(m.now.Sub(r.arrived))
	m.end(r, FinishCmd{
		Outcome: outcome.Done, Status: msg.Status, ContentType: msg.ContentType, Body: msg.Body,
	})
}

// awaitsCall reports whether the request waits for the answer to an attempt.
func (r *request) awaitsCall(attempt uint32) bool {
	return r != nil && r.route.service() && r.phase == phaseRunning && r.attempt == attempt
}

// serviceFailed deals with a service's own word that it failed. For a marked
// request that is the answer.
func (m *Model) serviceFailed(r *request, msg CallDoneMsg) {
	if !r.marked() && m.mayCallAgain(r) {
		m.callElsewhere(r)
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
	if !r.awaitsCall(msg.Attempt) {
		m.stats.Stale++
		return
	}
	if msg.NotSent {
		m.pool.RecordFailure(m.now, r.chain[0], false)
		m.notSent(r)
		return
	}
	m.pool.RecordFailure(m.now, r.chain[0], true)
	if !r.marked() && m.mayCallAgain(r) {
		m.callElsewhere(r)
		return
	}
	m.lose(r, ReasonUpstreamLost)
}

// notSent tries elsewhere, whatever the request: this attempt did not run.
// That holds for the whole request where no attempt before it was sent, and a
// marked one only comes to another attempt when the last was not sent.
func (m *Model) notSent(r *request) {
	if r.attempt == 1 || r.marked() {
		m.unbegin(r)
	}
	if m.mayCallAgain(r) {
		m.callElsewhere(r)
		return
	}
	m.giveUp(r)
}

// mayCallAgain reports whether there is time and budget for another attempt.
// It takes from the budget.
func (m *Model) mayCallAgain(r *request) bool {
	if r.attempt >= m.policy.MaxCalls || m.now >= r.deadline {
		return false
	}
	return r.route.lane.budget.TryWithdraw()
}

// callElsewhere tries a request again at another upstream.
func (m *Model) callElsewhere(r *request) {
	m.stats.Retried++
	r.tried = append(r.tried, r.chain[0])
	m.goElsewhere(r)
}

package core

import (
	"github.com/hoistjunction/hoistjunction/outcome"
)

// expireRunning handles the running requests that are past their deadline or whose step has timed
// out.
func (m *Model) expireRunning() {
	var expired []*request
	for _, r := range m.running {
		if m.now >= r.deadline || (!r.route.isService() && m.now >= r.timeoutAt) {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		if r.phase == phaseRunning {
			m.timeOut(r)
		}
	}
}

func (m *Model) timeOut(r *request) {
	if m.now >= r.deadline {
		m.deadlinePassed(r)
		return
	}
	u := r.chain[r.stage]
	m.stats.StepTimeouts++
	m.pool.RecordFailure(m.now, u, true)
	r.failed = append(r.failed, u)
	m.resume(r)
}

// deadlinePassed reports the missed deadline to the callers. A pipeline request with a key
// continues without callers, so that a client retry with the key gets the answer.
func (m *Model) deadlinePassed(r *request) {
	if r.key == nil || r.route.isService() {
		m.endUnanswered(r, ReasonDeadline)
		return
	}
	for _, caller := range r.callers {
		m.addCmd(&FinishCmd{Caller: caller, Outcome: outcome.Unknown, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
		delete(m.byCaller, caller)
	}
	r.callers = nil
	r.deadline = r.deadline.Add(r.route.defaultDeadline(r.spec.MaxTokens))
}

package core

import (
	"github.com/hoistjunction/hoistjunction/outcome"
)

// expireRunning takes the stages of unanswered steps for lost, and ends
// requests past their deadline.
func (m *Model) expireRunning() {
	var due []*request
	for _, r := range m.running {
		if m.now >= r.deadline || (!r.route.isService() && m.now >= r.timeoutAt) {
			due = append(due, r)
		}
	}
	for _, r := range due {
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

// deadlinePassed tells the callers that the time is over. A request with a key
// runs on without them, so that asking again with the key gives the answer.
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

package core

import (
	"github.com/hoistjunction/hoistjunction/outcome"
)

// timeOutSteps takes the stages of unanswered steps for lost, and ends
// requests past their deadline.
func (m *Model) timeOutSteps() {
	var due []*request
	for _, r := range m.running {
		if m.now >= r.deadline || (!r.route.service() && m.now >= r.limitAt) {
			due = append(due, r)
		}
	}
	for _, r := range due {
		if r.phase == phaseRunning {
			m.overdue(r)
		}
	}
}

func (m *Model) overdue(r *request) {
	if m.now >= r.deadline {
		m.pastDeadline(r)
		return
	}
	u := r.chain[r.stage]
	m.stats.StepTimeouts++
	m.pool.RecordFailure(m.now, u, true)
	r.tried = append(r.tried, u)
	m.resume(r)
}

// pastDeadline tells the callers that the time is over. A request with a key
// runs on without them, so that asking again with the key gives the answer.
func (m *Model) pastDeadline(r *request) {
	if r.key == nil || r.route.service() {
		m.lose(r, ReasonDeadline)
		return
	}
	for _, caller := range r.callers {
		m.do(&FinishCmd{Caller: caller, Outcome: outcome.Unknown, Reason: ReasonDeadline, RetryAfter: leastPause})
		delete(m.byCaller, caller)
	}
	r.callers = nil
	r.deadline = r.deadline.Add(r.route.usualDeadline(r.spec.MaxTokens))
}

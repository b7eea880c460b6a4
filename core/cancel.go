package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/outcome"
)

// cancel notes that a caller has hung up. A marked request runs on: its
// caller may ask for the answer with the same key.
func (m *Model) cancel(msg CancelMsg) {
	r := m.byCaller[msg.Caller]
	if r == nil {
		return
	}
	delete(m.byCaller, msg.Caller)
	r.callers = slices.DeleteFunc(r.callers, func(c uint64) bool { return c == msg.Caller })
	if len(r.callers) > 0 || (r.key != nil && r.begun) {
		return
	}
	m.stats.Canceled++
	if r.phase == phaseRelayed {
		// The owner goes on, and keeps the answer.
		m.end(r, FinishCmd{Outcome: outcome.Unknown, Reason: ReasonCanceled})
		return
	}
	m.end(r, FinishCmd{Outcome: canceledOutcome(r), Reason: ReasonCanceled})
}

func canceledOutcome(r *request) outcome.Outcome {
	if r.begun {
		return outcome.Failed
	}
	return outcome.NotExecuted
}

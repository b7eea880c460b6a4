package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/outcome"
)

// cancel handles the disconnect of a caller. A request with a key that has begun continues without
// callers, so that a client retry with the same key gets the answer.
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
		// The owner continues the request and keeps the answer.
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

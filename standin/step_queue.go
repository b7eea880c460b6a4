package standin

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/wire"
)

// queuedStep is a step that waits for a batch.
type queuedStep struct {
	step            *wire.StepRequest
	sendReply       func(*wire.StepReply)
	cachedPositions int
}

// stepQueue orders steps by priority, then by arrival.
type stepQueue struct {
	steps []*queuedStep
}

func (q *stepQueue) add(s *queuedStep) { q.steps = append(q.steps, s) }

func (q *stepQueue) take(n int) []*queuedStep {
	slices.SortStableFunc(q.steps, func(a, b *queuedStep) int {
		return int(a.step.GetPriority()) - int(b.step.GetPriority())
	})
	n = min(n, len(q.steps))
	batch := q.steps[:n:n]
	q.steps = q.steps[n:]
	return batch
}

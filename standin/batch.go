package standin

import (
	"context"
	"time"

	"github.com/hoistjunction/hoistjunction/wire"
)

func (e *Engine) nextBatch() []*queuedStep {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting.take(e.config.MaxBatch)
}

// runBatch takes the time that the batch costs, and then answers its steps.
func (e *Engine) runBatch(ctx context.Context, batch []*queuedStep) {
	e.mu.Lock()
	cost := e.config.Base + e.faults.Slow()
	for _, q := range batch {
		cost += e.config.PerStep + e.config.PerPosition*time.Duration(e.uncached(q))
	}
	e.mu.Unlock()
	if !sleep(ctx, cost) {
		return
	}
	for e.frozen() {
		if !sleep(ctx, frozenPoll) {
			return
		}
	}
	for _, q := range batch {
		e.answer(q)
	}
}

// frozenPoll is how often a frozen engine looks whether it still is.
const frozenPoll = 2 * time.Millisecond

// sleep waits, and returns false when the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (e *Engine) frozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Frozen
}

// answer runs a step and sends its reply, over a slow link or twice where a
// fault says so.
func (e *Engine) answer(q *queuedStep) {
	e.mu.Lock()
	reply := e.run(q.step)
	faults := e.faults
	e.mu.Unlock()
	for range 1 + faults.Doubled {
		if faults.LinkMS == 0 {
			q.answer(reply)
			continue
		}
		time.AfterFunc(time.Duration(faults.LinkMS)*time.Millisecond, func() { q.answer(reply) })
	}
}

// uncached returns how many positions of a step have to be worked out.
func (e *Engine) uncached(q *queuedStep) int {
	n := positionsOf(q.step)
	if q.step.GetPosition() == 0 {
		q.cached = e.prefixes.lookup(q.step)
		e.counts.Cached += uint64(q.cached)
	}
	return n - q.cached
}

func positionsOf(s *wire.StepRequest) int {
	return len(tokenize(s.GetPrompt())) + len(s.GetTokens()) + len(s.GetInputs())
}

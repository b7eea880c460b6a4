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

// runBatch waits for the execution time of the batch, then executes its steps
// and sends the replies. While the engine is frozen no reply is sent.
func (e *Engine) runBatch(ctx context.Context, batch []*queuedStep) {
	e.mu.Lock()
	duration := e.config.Base + e.faults.BatchDelay()
	for _, q := range batch {
		duration += e.config.PerStep + e.config.PerPosition*time.Duration(e.uncachedPositions(q))
	}
	e.mu.Unlock()
	if !sleep(ctx, duration) {
		return
	}
	for e.isFrozen() {
		if !sleep(ctx, frozenPollInterval) {
			return
		}
	}
	for _, q := range batch {
		e.sendReply(q)
	}
}

// frozenPollInterval is the time between two checks whether the engine is
// still frozen.
const frozenPollInterval = 2 * time.Millisecond

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (e *Engine) isFrozen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Frozen
}

// sendReply executes a step and sends its reply, with the delay and extra
// copies of the injected faults.
func (e *Engine) sendReply(q *queuedStep) {
	e.mu.Lock()
	reply := e.executeStep(q.step)
	faults := e.faults
	e.mu.Unlock()
	for range 1 + faults.ExtraReplies {
		if faults.LinkDelayMS == 0 {
			q.sendReply(reply)
			continue
		}
		time.AfterFunc(time.Duration(faults.LinkDelayMS)*time.Millisecond, func() { q.sendReply(reply) })
	}
}

// uncachedPositions returns the number of positions of a step that are not in
// the prefix cache.
func (e *Engine) uncachedPositions(q *queuedStep) int {
	n := positionCount(q.step)
	if q.step.GetPosition() == 0 {
		q.cachedPositions = e.prefixes.lookup(q.step)
		e.counts.CachedPositions += uint64(q.cachedPositions)
	}
	return n - q.cachedPositions
}

func positionCount(s *wire.StepRequest) int {
	return len(tokenize(s.GetPrompt())) + len(s.GetTokens()) + len(s.GetInputs())
}

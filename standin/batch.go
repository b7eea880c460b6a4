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
	cost := e.config.Base + e.faults.BatchDelay()
	for _, q := range batch {
		cost += e.config.PerStep + e.config.PerPosition*time.Duration(e.uncachedPositions(q))
	}
	e.mu.Unlock()
	if !sleep(ctx, cost) {
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

// frozenPollInterval is how often a frozen engine looks whether it still is.
const frozenPollInterval = 2 * time.Millisecond

// sleep waits, and returns false when the context has ended.
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

// sendReply runs a step and sends its reply, over a slow link or twice where a
// fault says so.
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

// uncachedPositions returns how many positions of a step have to be worked out.
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

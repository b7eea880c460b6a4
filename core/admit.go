package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
)

// minRetryAfter is the shortest delay after which a refused client may retry.
const minRetryAfter clock.Millis = 50

// noUpstreamRetryAfter is the retry delay for a route that has no upstreams.
const noUpstreamRetryAfter clock.Millis = 1000

// admit queues a request, or refuses it at once when the predicted wait exceeds its bound.
func (m *Model) admit(r *request) {
	l := r.route.lane
	if r.account.overLimit() && !r.spec.Relayed {
		m.refuse(r, ReasonAccountLimit, m.retryAfter(l, r, minRetryAfter))
		return
	}
	if !l.hasUpstreams() {
		m.refuse(r, ReasonNoUpstream, noUpstreamRetryAfter+m.jitter(noUpstreamRetryAfter))
		return
	}
	if l.queue.Len() >= m.policy.MaxQueue {
		m.refuse(r, ReasonOverloaded, m.retryAfter(l, r, 0))
		return
	}
	if overrun := m.predictedOverrun(l, r); m.policy.Predict && overrun > 0 {
		m.refuse(r, ReasonOverloaded, m.retryAfter(l, r, overrun))
		return
	}
	m.enqueue(l, r)
}

// predictedOverrun returns the time by which a request is predicted to miss its bound for the first
// token. A request that need not wait is never predicted to miss it.
func (m *Model) predictedOverrun(l *lane, r *request) clock.Millis {
	wait := l.predictedWait(r.account, r.priority, r.cost())
	predicted := wait + clock.Millis(l.firstTokenMillis.value)
	if wait == 0 {
		return 0
	}
	return predicted - m.firstTokenBudget(r)
}

// firstTokenBudget returns the time after its arrival within which a request must have its first
// token. Policy.Margin shortens the bound to allow for prediction errors.
func (m *Model) firstTokenBudget(r *request) clock.Millis {
	bound := clock.Millis(float64(r.route.firstTokenBound()) * m.policy.Margin)
	return min(bound, r.deadline.Sub(r.arrivedAt))
}

// retryAfter returns the delay after which a refused client may retry: the overrun, or the predicted
// wait if the overrun is zero, plus a random part that spreads the retries of clients that were
// refused together.
func (m *Model) retryAfter(l *lane, r *request, overrun clock.Millis) clock.Millis {
	delay := max(overrun, minRetryAfter)
	if overrun == 0 {
		delay = max(l.predictedWait(r.account, r.priority, r.cost()), minRetryAfter)
	}
	return delay + m.jitter(delay/4+minRetryAfter)
}

func (m *Model) enqueue(l *lane, r *request) {
	r.phase = phaseQueued
	l.queue.Push(r,
		fairqueue.WithAccount(r.account.config.GetName(), r.account.weight()),
		fairqueue.WithPriority(r.priority),
		fairqueue.WithCost(r.cost()))
	m.dispatch(l)
}

// expireQueued removes from the queue the requests that can no longer meet their bound, and refuses
// them. It also removes requests that have ended already, such as canceled ones.
func (m *Model) expireQueued(l *lane) {
	var expired []*request
	l.queue.RemoveIf(func(r *request) bool {
		if r.phase != phaseQueued {
			return true
		}
		if m.now.Sub(r.arrivedAt) <= m.maxQueueWait(l, r) {
			return false
		}
		expired = append(expired, r)
		return true
	})
	for _, r := range expired {
		m.refuse(r, ReasonExpired, m.retryAfter(l, r, 0))
	}
}

// maxQueueWait returns how long a request may wait in the queue.
func (m *Model) maxQueueWait(l *lane, r *request) clock.Millis {
	if !m.policy.Predict {
		return r.deadline.Sub(r.arrivedAt)
	}
	return max(m.firstTokenBudget(r)-clock.Millis(l.firstTokenMillis.value), minRetryAfter)
}

package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
)

// minRetryAfter is the shortest time after which a refused caller is asked back.
const minRetryAfter clock.Millis = 50

// noUpstreamRetryAfter is when to ask again for a route that has no upstreams.
const noUpstreamRetryAfter clock.Millis = 1000

// admit queues a request, or refuses it at once when it is not expected to
// meet its bound.
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
	if excess := m.predictedOverrun(l, r); m.policy.Predict && excess > 0 {
		m.refuse(r, ReasonOverloaded, m.retryAfter(l, r, excess))
		return
	}
	m.enqueue(l, r)
}

// predictedOverrun predicts by how much a request would miss its bound.
func (m *Model) predictedOverrun(l *lane, r *request) clock.Millis {
	wait := l.predictedWait(r.account, r.priority, r.cost())
	predicted := wait + clock.Millis(l.firstTokenMillis.value)
	if wait == 0 {
		return 0
	}
	return predicted - m.firstTokenBudget(r)
}

// firstTokenBudget is how long after its arrival a request must have its first
// token, with a margin for what the prediction does not see.
func (m *Model) firstTokenBudget(r *request) clock.Millis {
	bound := clock.Millis(float64(r.route.firstTokenBound()) * m.policy.Margin)
	return min(bound, r.deadline.Sub(r.arrivedAt))
}

// retryAfter works out when a refused caller should ask again: when the queue will
// have drained by the excess. A random part keeps the callers that were
// refused together from coming back together.
func (m *Model) retryAfter(l *lane, r *request, excess clock.Millis) clock.Millis {
	p := max(excess, minRetryAfter)
	if excess == 0 {
		p = max(l.predictedWait(r.account, r.priority, r.cost()), minRetryAfter)
	}
	return p + m.jitter(p/4+minRetryAfter)
}

func (m *Model) enqueue(l *lane, r *request) {
	r.phase = phaseQueued
	l.queue.Push(r,
		fairqueue.WithAccount(r.account.config.GetName(), r.account.weight()),
		fairqueue.WithPriority(r.priority),
		fairqueue.WithCost(r.cost()))
	m.dispatch(l)
}

// expireQueued takes requests from the queue that can no longer meet their bound,
// and those whose callers have gone.
func (m *Model) expireQueued(l *lane) {
	var late []*request
	l.queue.RemoveIf(func(r *request) bool {
		if r.phase != phaseQueued {
			return true
		}
		if m.now.Sub(r.arrivedAt) <= m.maxQueueWait(l, r) {
			return false
		}
		late = append(late, r)
		return true
	})
	for _, r := range late {
		m.refuse(r, ReasonExpired, m.retryAfter(l, r, 0))
	}
}

// maxQueueWait is how long a request may wait in the queue.
func (m *Model) maxQueueWait(l *lane, r *request) clock.Millis {
	if !m.policy.Predict {
		return r.deadline.Sub(r.arrivedAt)
	}
	return max(m.firstTokenBudget(r)-clock.Millis(l.firstTokenMillis.value), minRetryAfter)
}

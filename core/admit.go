package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
)

// leastPause is the shortest time after which a refused caller is asked back.
const leastPause clock.Millis = 50

// unstaffedPause is when to ask again for a route that has no upstreams.
const unstaffedPause clock.Millis = 1000

// admit queues a request, or refuses it at once when it is not expected to
// meet its bound.
func (m *Model) admit(r *request) {
	l := r.route.lane
	if r.account.full() && !r.spec.Relayed {
		m.refuse(r, ReasonAccountLimit, m.pause(l, r, leastPause))
		return
	}
	if !l.staffed() {
		m.refuse(r, ReasonNoUpstream, unstaffedPause+m.jitter(unstaffedPause))
		return
	}
	if l.queue.Len() >= m.policy.MaxQueue {
		m.refuse(r, ReasonOverloaded, m.pause(l, r, 0))
		return
	}
	if excess := m.excess(l, r); m.policy.Predict && excess > 0 {
		m.refuse(r, ReasonOverloaded, m.pause(l, r, excess))
		return
	}
	m.enqueue(l, r)
}

// excess predicts by how much a request would miss its bound.
func (m *Model) excess(l *lane, r *request) clock.Millis {
	wait := l.wait(r.account, r.priority, r.cost())
	predicted := wait + clock.Millis(l.first.value)
	if wait == 0 {
		return 0
	}
	return predicted - m.queueBound(r)
}

// queueBound is how long after its arrival a request must have its first
// token, with a margin for what the prediction does not see.
func (m *Model) queueBound(r *request) clock.Millis {
	bound := clock.Millis(float64(r.route.firstBound()) * m.policy.Margin)
	return min(bound, r.deadline.Sub(r.arrived))
}

// pause works out when a refused caller should ask again: when the queue will
// have drained by the excess. A random part keeps the callers that were
// refused together from coming back together.
func (m *Model) pause(l *lane, r *request, excess clock.Millis) clock.Millis {
	p := max(excess, leastPause)
	if excess == 0 {
		p = max(l.wait(r.account, r.priority, r.cost()), leastPause)
	}
	return p + m.jitter(p/4+leastPause)
}

func (m *Model) enqueue(l *lane, r *request) {
	r.phase = phaseQueued
	l.queue.Push(r,
		fairqueue.WithAccount(r.account.config.GetName(), r.account.weight()),
		fairqueue.WithPriority(r.priority),
		fairqueue.WithCost(r.cost()))
	m.dispatch(l)
}

// expire takes requests from the queue that can no longer meet their bound,
// and those whose callers have gone.
func (m *Model) expire(l *lane) {
	var late []*request
	l.queue.RemoveIf(func(r *request) bool {
		if r.phase != phaseQueued {
			return true
		}
		if m.now.Sub(r.arrived) <= m.queueBudget(l, r) {
			return false
		}
		late = append(late, r)
		return true
	})
	for _, r := range late {
		m.refuse(r, ReasonExpired, m.pause(l, r, 0))
	}
}

// queueBudget is how long a request may wait in the queue.
func (m *Model) queueBudget(l *lane, r *request) clock.Millis {
	if !m.policy.Predict {
		return r.deadline.Sub(r.arrived)
	}
	return max(m.queueBound(r)-clock.Millis(l.first.value), leastPause)
}

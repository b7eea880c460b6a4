package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// capacityReviewInterval is the pause between reviews of the requests that wait for
	// capacity. A request that cannot wait until the next review is refused now.
	capacityReviewInterval clock.Millis = 100
	// sendsPerRelease bounds the waiting requests that are sent when a request of this node has
	// ended: its memory suffices for about one, and requests of other nodes end too.
	sendsPerRelease = 2
	// sendsPerReview bounds the waiting requests that are sent at a review, since the same few
	// engines must read the prompts of all of them.
	sendsPerReview = 6
)

// sendWaiters sends the next waiting requests of a service after a request has ended whose last
// attempt began at an upstream; nil if no attempt was in progress, which frees nothing.
func (m *Model) sendWaiters(service *catalog.Service, first *upstream) []Cmd {
	if first == nil {
		return nil
	}
	if service.Pipeline == nil {
		return m.slotFreed(service.Name, first)
	}
	return m.sendCapacityWaiters(service.Name)
}

// sendCapacityWaiters sends the next requests that wait for capacity of a pipeline service, after a
// request of this node has released memory or an engine has loaded layers.
func (m *Model) sendCapacityWaiters(service string) []Cmd {
	q := m.capacityQueues[service]
	if q == nil {
		return nil
	}
	return m.sendFromLane(service, q.lanes[engineLane], sendsPerRelease)
}

// sendFromLane sends the first requests of a lane until one of them must go on waiting.
func (m *Model) sendFromLane(service string, l capacityLane, maxSends int) []Cmd {
	var cmds []Cmd
	for maxSends > 0 {
		r := m.firstInLane(l)
		if r == nil {
			break
		}
		ticket := r.position.ticket
		next, sent := m.sendCapacityWaiter(r, service)
		cmds = append(cmds, next...)
		if r.position.ticket == ticket {
			break
		}
		if sent {
			maxSends--
		}
	}
	return cmds
}

// sendCapacityWaiter sends a waiting request if its key is still valid, and reports whether it
// was sent or waits for a permit. Retries are charged to the budget at this point.
func (m *Model) sendCapacityWaiter(r *request, service string) (cmds []Cmd, sent bool) {
	charged := r.owesRetry
	if charged {
		if !m.takeRetry(r) {
			return m.giveUp(r, ReasonNoRetryBudget), false
		}
		r.owesRetry = false
	}
	cmds = m.resend(r)
	sent = r.sentOrAwaitsPermit()
	if charged && !sent {
		m.budget(service).Refund(m.now)
		r.owesRetry = true
	}
	return cmds, sent
}

// reviewCapacityWaiters refuses the waiting requests that cannot be served any more before their
// clients leave, and sends those for which there is capacity.
func (m *Model) reviewCapacityWaiters() []Cmd {
	var cmds []Cmd
	for _, service := range slices.Sorted(maps.Keys(m.capacityQueues)) {
		q := m.capacityQueues[service]
		for _, l := range q.lanes {
			for _, waiting := range []*requestQueue{l.returning, l.fresh} {
				expired := m.removeWaiters(waiting, func(r *request) bool { return !m.timeToWait(r) })
				for _, r := range expired {
					cmds = append(cmds, m.refuseWaiter(r, m.expiryReason(r))...)
				}
			}
		}
		for _, l := range []lane{engineLane, retryLane} {
			cmds = append(cmds, m.sendFromLane(service, q.lanes[l], sendsPerReview)...)
		}
		cmds = append(cmds, m.sendFromHeldLane(service, q.lanes[heldLane])...)
	}
	return cmds
}

package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// minFullPlain is the least time for which a plain upstream counts as full that has
	// refused a request. It doubles with each refusal in a row, up to maxFull: a request
	// that is refused once more is a repeat that operators bound.
	minFullPlain clock.Millis = 20
	// fullLatencyShare is the part of an answer's mean time after which one of several places
	// is likely to be free.
	fullLatencyShare = 0.5
	// sendsPerAnswer is how many requests are sent on for each answer where an upstream
	// has not refused one for recentRefusal: others' requests end there too.
	sendsPerAnswer              = 2
	recentRefusal  clock.Millis = 150
	// slotReviewInterval is how often it is looked at who waits. Who cannot wait until the next
	// time is refused now: later its time would be up, which does not tell that it has not run.
	slotReviewInterval clock.Millis = 100
)

// SlotWaitCmd is for the log: a request awaits a place at a plain service.
type SlotWaitCmd struct {
	Request RequestID
	Service string
	// Waiting is how many await one, this one included, and Until for how long it may.
	Waiting int
	Until   clock.Millis
}

func (SlotWaitCmd) dispatchCmd() {}

// slotQueue holds the requests that await a place at the upstreams of a plain service. Each
// gets its turn by its rank, and in turn by its client account.
type slotQueue = fairqueue.Queue[RequestID]

// recordSlotRefusal notes that a plain upstream has no place. It is not suspected for that: a
// probe would take a place too.
func (u *upstream) recordSlotRefusal(now clock.Millis) {
	pause := max(minFullPlain, clock.Millis(u.meanLatency*fullLatencyShare))
	u.fullUntil = now.Add(min(pause<<min(u.refusals, 8), maxFull))
	u.refusals++
	u.refusedAt = now
}

// slotQueue returns the requests that await a place of a service.
func (m *Model) slotQueue(service string) *slotQueue {
	q := m.slotQueues[service]
	if q == nil {
		q = fairqueue.New[RequestID]()
		m.slotQueues[service] = q
	}
	return q
}

// lacksOnlySlot tells whether a request that has not run lacks nothing but a place: an upstream that
// may run it has none just now.
func (m *Model) lacksOnlySlot(r *request) bool {
	return r.executions == 0 && slices.ContainsFunc(m.byService[r.service.Name], func(u *upstream) bool {
		return u.healthy() && u.full(m.now) && !u.inBackOff(m.now) && r.mayExecuteOn(u) && m.limitAllows(r, u)
	})
}

// awaitSlot has a request wait for a place, if it can have one in its caller's time: a caller
// that was told to come back would find the place taken by another, or be too late for it.
func (m *Model) awaitSlot(r *request) []Cmd {
	q := m.slotQueue(r.service.Name)
	rank := min(max(r.priority(), 0), fairqueue.Priorities-1)
	ahead := q.Ahead(rank) + q.AccountLen(rank, r.account.Name)
	if r.timeLeft(m.now) < m.expectedSlotWait(r, ahead) {
		return m.giveUp(r, ReasonNoSlot)
	}
	// Those that had no place may have one now.
	maps.DeleteFunc(r.triedUpstreams, func(id fleet.Incarnation, _ bool) bool {
		_, ran := r.executedOn[id]
		return !ran
	})
	r.awaitsSlot = true
	q.Push(r.arrival.Request, fairqueue.WithPriority(rank), fairqueue.WithAccount(r.account.Name, 1))
	return []Cmd{SlotWaitCmd{Request: r.arrival.Request, Service: r.service.Name, Waiting: q.Len(), Until: m.now.Add(r.timeLeft(m.now))}}
}

// expectedSlotWait is within what time a request is answered that waits behind others: this node's
// own requests leave places, one after the other.
func (m *Model) expectedSlotWait(r *request, ahead int) clock.Millis {
	took, underWay := 0.0, 0
	for _, u := range m.byService[r.service.Name] {
		took = max(took, u.meanLatency)
		underWay += u.inFlight
	}
	turns := float64(ahead)/float64(max(underWay, 1)) + 1
	return clock.Millis(took * turns)
}

// slotFreed sends the next requests that await a place of a service, after an answer of an
// upstream has left one.
func (m *Model) slotFreed(service string, u *upstream) []Cmd {
	q := m.slotQueues[service]
	if q == nil || q.Len() == 0 || u == nil || u.pipeline != nil {
		return nil
	}
	u.fullUntil = 0
	most := sendsPerAnswer
	if m.now < u.refusedAt.Add(recentRefusal) {
		most = 1
	}
	return m.sendSlotWaiters(q, most)
}

// sendSlotWaiters sends the first requests of those that await a place. A repeat is paid for now.
func (m *Model) sendSlotWaiters(q *slotQueue, most int) []Cmd {
	var cmds []Cmd
	for range min(most, q.Len()) {
		r := m.nextSlotWaiter(q)
		if r == nil {
			break
		}
		if r.attempts > 0 && !m.budget(r.service.Name).TryWithdraw(m.now) {
			return append(cmds, m.awaitSlot(r)...)
		}
		cmds = append(cmds, m.resend(r)...)
	}
	return cmds
}

// nextSlotWaiter takes the first request off those that await a place; nil for none.
func (m *Model) nextSlotWaiter(q *slotQueue) *request {
	for {
		id, ok := q.Pop()
		if !ok {
			return nil
		}
		if r := m.requests[id]; r != nil && r.awaitsSlot {
			r.awaitsSlot, r.waitedForSlot = false, true
			return r
		}
	}
}

// reviewSlotWaiters refuses the requests that can have no place in their callers' time any more,
// and tries upstreams again that have refused one a while ago.
func (m *Model) reviewSlotWaiters() []Cmd {
	var cmds []Cmd
	for _, service := range slices.Sorted(maps.Keys(m.slotQueues)) {
		q := m.slotQueues[service]
		var late []*request
		q.RemoveIf(func(id RequestID) bool {
			r := m.requests[id]
			if r == nil || !r.awaitsSlot {
				return true
			}
			given := r.timeLeft(m.now) < m.expectedSlotWait(r, 0)+slotReviewInterval || !m.lacksOnlySlot(r) && m.availableUpstreams(service) == 0
			if given {
				late = append(late, r)
			}
			return given
		})
		for _, r := range late {
			r.awaitsSlot = false
			cmds = append(cmds, m.giveUp(r, m.slotRefusalReason(r))...)
		}
		cmds = append(cmds, m.sendSlotWaiters(q, m.availableUpstreams(service))...)
	}
	return cmds
}

// slotRefusalReason says why a request is refused that has awaited a place.
func (m *Model) slotRefusalReason(r *request) Reason {
	if m.lacksOnlySlot(r) || m.availableUpstreams(r.service.Name) > 0 {
		return ReasonNoSlot
	}
	return ReasonNoUpstream
}

// availableUpstreams is how many upstreams of a service may be tried: those that have not refused a
// request just now.
func (m *Model) availableUpstreams(service string) int {
	n := 0
	for _, u := range m.byService[service] {
		if u.available(m.now) && !u.inBackOff(m.now) {
			n++
		}
	}
	return n
}

package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// minFullPlain is the shortest time for which a plain upstream counts as full after a
	// refusal. It doubles with each consecutive refusal, up to maxFull, because sending a refused
	// request again is a retry, which operators bound.
	minFullPlain clock.Millis = 20
	// fullLatencyShare is the share of the mean latency after which one of several slots is
	// likely to be free.
	fullLatencyShare = 0.5
	// sendsPerAnswer is the number of waiting requests that are sent for each answer, if the
	// upstream has refused no request for recentRefusal: requests of other nodes end there too.
	sendsPerAnswer              = 2
	recentRefusal  clock.Millis = 150
	// slotReviewInterval is the pause between reviews of the waiting requests. A request that
	// cannot wait until the next review is refused now: once its time is up, the answer could not
	// state that it was not executed.
	slotReviewInterval clock.Millis = 100
)

// SlotWaitCmd logs that a request waits for a slot at a plain service.
type SlotWaitCmd struct {
	Request RequestID
	Service string
	// Waiting is the number of waiting requests, including this one, and Until the end of its
	// wait.
	Waiting int
	Until   clock.Millis
}

func (SlotWaitCmd) dispatchCmd() {}

// recordSlotRefusal records that a plain upstream has no free slot. The upstream does not become
// suspected, since a probe would take a slot too.
func (u *upstream) recordSlotRefusal(now clock.Millis) {
	pause := max(minFullPlain, clock.Millis(u.meanLatency*fullLatencyShare))
	u.fullUntil = now.Add(min(pause<<min(u.refusals, 8), maxFull))
	u.refusals++
	u.refusedAt = now
}

// slotQueue returns the queue for slots at the upstreams of a plain service.
func (m *Model) slotQueue(service string) *requestQueue {
	q := m.slotQueues[service]
	if q == nil {
		q = newRequestQueue()
		m.slotQueues[service] = q
	}
	return q
}

// lacksOnlySlot reports whether a request that was not executed lacks nothing but a slot: some
// upstream may execute it and is full at the moment.
func (m *Model) lacksOnlySlot(r *request) bool {
	return r.executions == 0 && slices.ContainsFunc(m.byService[r.service.Name], func(u *upstream) bool {
		return u.healthy() && u.full(m.now) && !u.inBackOff(m.now) && r.mayExecuteOn(u) && m.limitAllows(r, u)
	})
}

// awaitSlot queues a request for a slot if one is expected to be free before the client's
// deadline. A client that was told to retry instead would find the slot taken or arrive too late.
func (m *Model) awaitSlot(r *request) []Cmd {
	q := m.slotQueue(r.service.Name)
	level := r.queueLevel()
	ahead := q.ahead(level) + q.entries.AccountLen(level, r.account.Name)
	if r.timeLeft(m.now) < m.expectedSlotWait(r, ahead) {
		return m.giveUp(r, ReasonNoSlot)
	}
	// Upstreams that refused the request without executing it may have a free slot later.
	maps.DeleteFunc(r.triedUpstreams, func(id fleet.Incarnation, _ bool) bool {
		_, executed := r.executedOn[id]
		return !executed
	})
	m.enqueue(q, r)
	return []Cmd{SlotWaitCmd{Request: r.arrival.Request, Service: r.service.Name, Waiting: q.len(), Until: m.now.Add(r.timeLeft(m.now))}}
}

// expectedSlotWait estimates the time until a request behind others is answered, if only this
// node's own requests free slots, one after the other.
func (m *Model) expectedSlotWait(r *request, ahead int) clock.Millis {
	latency, sent := 0.0, 0
	for _, u := range m.byService[r.service.Name] {
		latency = max(latency, u.meanLatency)
		sent += u.inFlight
	}
	turns := float64(ahead)/float64(max(sent, 1)) + 1
	return clock.Millis(latency * turns)
}

// slotFreed sends the next waiting requests of a service after an upstream's answer has freed a
// slot.
func (m *Model) slotFreed(service string, u *upstream) []Cmd {
	q := m.slotQueues[service]
	if q == nil || q.len() == 0 || u == nil || u.pipeline != nil {
		return nil
	}
	u.fullUntil = 0
	maxSends := sendsPerAnswer
	if m.now < u.refusedAt.Add(recentRefusal) {
		maxSends = 1
	}
	return m.sendSlotWaiters(service, q, maxSends)
}

// sendSlotWaiters sends the first waiting requests. Retries are charged to the budget at this
// point.
func (m *Model) sendSlotWaiters(service string, q *requestQueue, maxSends int) []Cmd {
	var cmds []Cmd
	for range min(maxSends, q.len()) {
		r := m.nextSlotWaiter(q)
		if r == nil {
			break
		}
		charged := r.owesRetry
		if charged && !m.takeRetry(r) {
			return append(cmds, m.awaitSlot(r)...)
		}
		r.owesRetry = false
		cmds = append(cmds, m.resend(r)...)
		if charged && !r.sentOrAwaitsPermit() {
			// The request was not sent: it waits again or has ended.
			m.budget(service).Refund(m.now)
			r.owesRetry = true
		}
	}
	return cmds
}

// nextSlotWaiter removes the first waiting request from the queue; nil for none.
func (m *Model) nextSlotWaiter(q *requestQueue) *request {
	r := m.firstWaiter(q)
	if r == nil {
		return nil
	}
	q.entries.Pop()
	r.dequeue()
	r.waitedForSlot = true
	return r
}

// reviewSlotWaiters refuses the requests that cannot get a slot before their deadlines, and sends
// waiting requests to upstreams that no longer count as full.
func (m *Model) reviewSlotWaiters() []Cmd {
	var cmds []Cmd
	for _, service := range slices.Sorted(maps.Keys(m.slotQueues)) {
		q := m.slotQueues[service]
		refused := m.removeWaiters(q, func(r *request) bool {
			return r.timeLeft(m.now) < m.expectedSlotWait(r, 0)+slotReviewInterval || !m.lacksOnlySlot(r) && m.availableUpstreams(service) == 0
		})
		for _, r := range refused {
			r.dequeue()
			cmds = append(cmds, m.giveUp(r, m.slotRefusalReason(r))...)
		}
		cmds = append(cmds, m.sendSlotWaiters(service, q, m.availableUpstreams(service))...)
	}
	return cmds
}

// slotRefusalReason returns the reason for refusing a request that waited for a slot.
func (m *Model) slotRefusalReason(r *request) Reason {
	if m.lacksOnlySlot(r) || m.availableUpstreams(r.service.Name) > 0 {
		return ReasonNoSlot
	}
	return ReasonNoUpstream
}

// availableUpstreams returns the number of a service's upstreams that may be tried: healthy, not full
// and not in back-off.
func (m *Model) availableUpstreams(service string) int {
	n := 0
	for _, u := range m.byService[service] {
		if u.available(m.now) && !u.inBackOff(m.now) {
			n++
		}
	}
	return n
}

package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
)

const (
	// capacityReviewInterval is the pause between reviews of the requests that wait for
	// capacity. A request that cannot wait until the next review is refused now.
	capacityReviewInterval clock.Millis = 100
	// refusalMargin is the time that a refusal needs to reach the client before it disconnects.
	refusalMargin clock.Millis = 50
	// sendsPerRelease bounds the waiting requests that are sent when a request of this node has
	// ended: its memory suffices for about one, and requests of other nodes end too.
	sendsPerRelease = 2
	// sendsPerReview bounds the waiting requests that are sent at a review, since the same few
	// engines must read the prompts of all of them.
	sendsPerReview = 6
)

// lane selects the requests of a service that wait for the same thing. Requests overtake only
// those of another lane.
type lane uint8

const (
	// engineLane holds requests for which the engines have no capacity.
	engineLane lane = iota
	// retryLane holds failed requests for which the retry budget is exhausted.
	retryLane
	// heldLane holds requests of client accounts above their fair share, and those held back by
	// admission control. They do not delay each other or the requests that are admitted: accounts
	// fall below their shares at different times, and requests of a priority differ in threshold.
	heldLane
	laneCount
)

// laneOf returns the lane of a reason for which requests wait.
func laneOf(reason Reason) lane {
	switch reason {
	case ReasonNoRetryBudget:
		return retryLane
	case ReasonOverFairShare, ReasonHeldBack:
		return heldLane
	default:
		return engineLane
	}
}

// capacityQueue holds the requests of a pipeline service that wait for capacity.
type capacityQueue struct{ lanes [laneCount]capacityLane }

// capacityLane holds requests that wait for the same thing. Of the requests of a priority, those
// that return after a refusal or a failed attempt are sent before the new ones.
type capacityLane struct{ returning, fresh *requestQueue }

// capacityWait is the wait of a request for capacity before its answer has begun.
type capacityWait struct {
	// reason is the lack for which the request waits, and since when the wait began.
	reason Reason
	since  clock.Millis
	// ended reports whether the request may not wait any more.
	ended bool
	// admitted reports whether the request has passed the waiting ones since its last attempt.
	admitted bool
	// returned reports whether this node refused the same work shortly before.
	returned bool
	// owesRetry reports whether the next attempt is charged to the retry budget.
	owesRetry bool
	// hasFailure reports whether the last attempt ended with an error response of the upstream,
	// which is relayed at once.
	hasFailure bool
}

// WaitOutcome is how a wait for capacity ended.
type WaitOutcome string

// Outcomes of a wait for capacity.
const (
	WaitSent    WaitOutcome = "sent"
	WaitRefused WaitOutcome = "refused"
	WaitLeft    WaitOutcome = "caller_left"
)

// CapacityWaitCmd logs that a request begins to wait for capacity.
type CapacityWaitCmd struct {
	Request  RequestID
	CallerID string
	Service  string
	Reason   Reason
	Priority int
	// Returned reports whether this node refused the same work shortly before.
	Returned bool
	// Waiting is the number of waiting requests of the service, including this one, and Until
	// the end of its wait.
	Waiting int
	Until   clock.Millis
	// OverShare is the decision of fair shares; nil if that is not the reason.
	OverShare *fairshare.Decision
}

// CapacityWaitEndCmd logs that a wait for capacity has ended.
type CapacityWaitEndCmd struct {
	Request  RequestID
	CallerID string
	Service  string
	Reason   Reason
	Outcome  WaitOutcome
	Waited   clock.Millis
}

func (CapacityWaitCmd) dispatchCmd()    {}
func (CapacityWaitEndCmd) dispatchCmd() {}

// CapacityWaits summarises the waits for capacity, for metrics.
type CapacityWaits struct {
	// Waiting and BodyBytes are the requests that wait now and the size of their bodies.
	Waiting   int `json:"waiting"`
	BodyBytes int `json:"body_bytes"`
	// Begun counts the waits since the start, and the others their outcomes.
	Begun   int `json:"begun"`
	Sent    int `json:"sent"`
	Refused int `json:"refused"`
	Left    int `json:"caller_left"`
	// Longest is the duration of the longest wait that has ended.
	Longest clock.Millis `json:"longest_ms"`
}

// CapacityWaits returns a summary of the waits for capacity.
func (m *Model) CapacityWaits() CapacityWaits { return m.capacityWaits }

func newCapacityQueue() *capacityQueue {
	q := &capacityQueue{}
	for i := range q.lanes {
		q.lanes[i] = capacityLane{returning: newRequestQueue(), fresh: newRequestQueue()}
	}
	return q
}

// len returns the number of waiting requests.
func (q *capacityQueue) len() int {
	n := 0
	for _, l := range q.lanes {
		n += l.returning.len() + l.fresh.len()
	}
	return n
}

// goesFirst reports whether a request is sent before the new ones of its priority.
func (r *request) goesFirst() bool { return r.capacity.returned || r.attempts > 0 }

// queueFor returns the queue of the lane in which a request waits.
func (l capacityLane) queueFor(r *request) *requestQueue {
	if r.goesFirst() {
		return l.returning
	}
	return l.fresh
}

// precedes reports whether a waiting request of the lane is sent before a request that does not
// wait yet.
func (l capacityLane) precedes(r *request) bool {
	level := r.queueLevel()
	ahead := l.returning.ahead(level+1) + l.fresh.ahead(level)
	return ahead > 0 || !r.goesFirst() && l.fresh.waiting[level] > 0
}

// turnsBefore estimates the number of requests of the lane that are sent before a request.
func (l capacityLane) turnsBefore(r *request) int {
	level := r.queueLevel()
	ahead := l.returning.ahead(level) + l.fresh.ahead(level)
	if r.goesFirst() {
		return ahead + l.returning.turnsBefore(level, r.account.Name)
	}
	return ahead + l.returning.waiting[level] + l.fresh.turnsBefore(level, r.account.Name)
}

// firstInLane returns the request of a lane that is sent next; nil for none.
func (m *Model) firstInLane(l capacityLane) *request {
	returning, fresh := m.firstWaiter(l.returning), m.firstWaiter(l.fresh)
	if returning == nil || fresh != nil && fresh.position.level < returning.position.level {
		return fresh
	}
	return returning
}

// capacityQueue returns the queue of a pipeline service.
func (m *Model) capacityQueue(service string) *capacityQueue {
	q := m.capacityQueues[service]
	if q == nil {
		q = newCapacityQueue()
		m.capacityQueues[service] = q
	}
	return q
}

// mustQueue returns the reason for which a request must wait behind others, so that it does not
// overtake those that wait for the same thing; empty if it may be sent. Streams that have begun
// never queue.
func (m *Model) mustQueue(r *request, l lane) Reason {
	inLane := r.waits() && laneOf(r.capacity.reason) == l
	if r.answerBegun() || inLane || r.capacity.admitted || !m.precededInLane(r, l) {
		return ""
	}
	reason := m.firstInLane(m.capacityQueues[r.service.Name].lanes[l]).capacity.reason
	if reason != ReasonNoHolder {
		return reason
	}
	if loaded, ok := m.missingLayersLoaded(r); ok && loaded == m.now {
		// The layers have been loaded since that request began to wait. What this one lacks is its
		// turn.
		return ReasonNoMemory
	}
	return reason
}

// precededInLane reports whether a waiting request of a lane is sent before a request that does not
// wait yet.
func (m *Model) precededInLane(r *request, l lane) bool {
	q := m.capacityQueues[r.service.Name]
	return q != nil && q.lanes[l].precedes(r)
}

// awaitCapacity queues a request that lacks capacity. It reports whether the request waits; any
// other is refused at once. A waiting request keeps its place unless it lacks something else now.
func (m *Model) awaitCapacity(r *request, reason Reason) ([]Cmd, bool) {
	if !m.mayAwaitCapacity(r, reason) {
		return nil, false
	}
	if reason == ReasonNoRetryBudget {
		r.capacity.owesRetry = true
	}
	target := m.capacityQueue(r.service.Name).lanes[laneOf(reason)].queueFor(r)
	if r.waits() {
		if r.position.queue != target {
			r.dequeue()
			m.enqueue(target, r)
		}
		r.capacity.reason = reason
		return nil, true
	}
	cmds, ok := m.makeRoom(r)
	if !ok {
		return nil, false
	}
	r.capacity.reason, r.capacity.since = reason, m.now
	m.enqueue(target, r)
	m.capacityWaits.Begun++
	m.capacityWaits.Waiting++
	m.capacityWaits.BodyBytes += r.arrival.BodyBytes
	return append(cmds, CapacityWaitCmd{
		Request: r.arrival.Request, CallerID: r.arrival.CallerID, Service: r.service.Name, Reason: reason, Priority: r.priority(),
		Returned: r.capacity.returned, Waiting: m.capacityQueue(r.service.Name).len(), Until: m.latestSend(r),
		OverShare: r.overShareDecision(reason),
	}), true
}

// endCapacityWait ends the wait of a request for capacity, if it waits.
func (m *Model) endCapacityWait(r *request, outcome WaitOutcome) []Cmd {
	if r == nil || !r.waits() || r.service.Pipeline == nil {
		return nil
	}
	r.dequeue()
	waited := m.now.Sub(r.capacity.since)
	m.capacityWaits.Waiting--
	m.capacityWaits.BodyBytes -= r.arrival.BodyBytes
	m.capacityWaits.Longest = max(m.capacityWaits.Longest, waited)
	switch outcome {
	case WaitSent:
		m.capacityWaits.Sent++
	case WaitRefused:
		m.capacityWaits.Refused++
	case WaitLeft:
		m.capacityWaits.Left++
	}
	return []Cmd{CapacityWaitEndCmd{
		Request: r.arrival.Request, CallerID: r.arrival.CallerID, Service: r.service.Name, Reason: r.capacity.reason, Outcome: outcome, Waited: waited,
	}}
}

// refuseWaiter refuses a waiting request.
func (m *Model) refuseWaiter(r *request, reason Reason) []Cmd {
	r.capacity.ended = true
	return m.giveUp(r, reason)
}

// makeRoom makes the queue accept a request within the bounds on requests and bytes, and reports
// whether it does. A full queue refuses the newest of its least urgent requests in favour of a
// more urgent one.
func (m *Model) makeRoom(r *request) ([]Cmd, bool) {
	if m.roomFor(r, 0, 0) {
		return nil, true
	}
	last := m.lastWaiter()
	if last == nil || last.position.level <= r.queueLevel() || !m.roomFor(r, 1, last.arrival.BodyBytes) {
		return nil, false
	}
	return m.refuseWaiter(last, last.capacity.reason), true
}

// roomFor reports whether a request may wait once a number of requests and bytes have left.
func (m *Model) roomFor(r *request, requests, bytes int) bool {
	return m.capacityWaits.Waiting-requests < m.policy.MaxWaiting &&
		m.capacityWaits.BodyBytes-bytes+r.arrival.BodyBytes <= m.policy.MaxWaitingBytes
}

// lastWaiter returns the newest of the least urgent requests that wait for capacity; nil for none.
func (m *Model) lastWaiter() *request {
	var last *request
	for _, r := range m.requests {
		if !r.waits() || r.service.Pipeline == nil {
			continue
		}
		if last == nil || r.position.level > last.position.level || r.position.level == last.position.level && r.position.ticket > last.position.ticket {
			last = r
		}
	}
	return last
}

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
	charged := r.capacity.owesRetry
	if charged {
		if !m.takeRetry(r) {
			return m.giveUp(r, ReasonNoRetryBudget), false
		}
		r.capacity.owesRetry = false
	}
	cmds = m.resend(r)
	sent = r.firstUpstream != nil || !r.permitUpstream.IsZero()
	if charged && !sent {
		m.budget(service).Refund(m.now)
		r.capacity.owesRetry = true
	}
	if sent {
		cmds = append(m.endCapacityWait(r, WaitSent), cmds...)
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

// updateWaiter applies the present route and pipeline to a waiting request: it must not be sent over a
// chain of the former layers, nor without a key that the route has come to require.
func (m *Model) updateWaiter(r *request) {
	if route, err := m.catalog.Route(r.arrival.Host, r.arrival.Path); err == nil && route.Kind == r.route.Kind {
		r.route = route
		r.requiresKey = m.catalog.HasAccounts() && !route.Anonymous
	}
	if s := m.catalog.Service(r.service.Name); s != nil && s.Pipeline != nil {
		r.service = s
	}
}

// requeueWaiters applies a new configuration to the requests that wait for capacity. Those whose
// keys have become invalid are refused, and the others are ordered by their present accounts and
// priorities.
func (m *Model) requeueWaiters() []Cmd {
	var waiting []*request
	for _, r := range m.requests {
		if r.waits() && r.service.Pipeline != nil {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.position.ticket, b.position.ticket) })
	var cmds []Cmd
	changed := false
	for _, r := range waiting {
		m.updateWaiter(r)
		cmds = append(cmds, m.checkKey(r)...)
		changed = changed || r.waits() && (r.queueLevel() != r.position.level || r.account.Name != r.position.account)
	}
	if !changed {
		return cmds
	}
	for _, r := range waiting {
		if r.waits() {
			target := r.position.queue
			r.dequeue()
			m.enqueue(target, r)
		}
	}
	return cmds
}

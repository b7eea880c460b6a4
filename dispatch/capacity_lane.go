package dispatch

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

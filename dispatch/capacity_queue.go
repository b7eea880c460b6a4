package dispatch

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
		r.owesRetry = true
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

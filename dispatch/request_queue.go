package dispatch

import "github.com/hoistjunction/hoistjunction/fairqueue"

// requestQueue holds requests that wait for the same resource, ordered by priority and then in
// turn by client account. Requests leave it in any order; their entries are dropped later.
type requestQueue struct {
	entries *fairqueue.Queue[waitEntry]
	// waiting counts the waiting requests by priority level. The entries may be more.
	waiting [fairqueue.Priorities]int
}

// waitEntry is the entry of a request in a queue. It is outdated once the request waits no longer
// or waits with another ticket.
type waitEntry struct {
	request RequestID
	ticket  uint64
}

// queuePosition is the place of a waiting request. The zero value means that it does not wait.
type queuePosition struct {
	queue   *requestQueue
	level   int
	account string
	ticket  uint64
}

func newRequestQueue() *requestQueue {
	return &requestQueue{entries: fairqueue.New[waitEntry]()}
}

// queueLevel returns the priority level of a request in queues. Operators may configure any
// priority.
func (r *request) queueLevel() int { return min(max(r.priority(), 0), fairqueue.Priorities-1) }

// enqueue adds a request to a queue.
func (m *Model) enqueue(q *requestQueue, r *request) {
	m.lastTicket++
	r.progress = queued
	r.position = queuePosition{queue: q, level: r.queueLevel(), account: r.account.Name, ticket: m.lastTicket}
	q.waiting[r.position.level]++
	q.entries.Push(waitEntry{request: r.arrival.Request, ticket: m.lastTicket},
		fairqueue.WithPriority(r.position.level), fairqueue.WithAccount(r.account.Name, 1))
}

// dequeue ends the wait of a request in its queue.
func (r *request) dequeue() {
	if r.waits() {
		r.position.queue.waiting[r.position.level]--
		r.position = queuePosition{}
		r.progress = undecided
	}
}

// waiter returns the request of an entry; nil if the entry is outdated.
func (m *Model) waiter(e waitEntry) *request {
	if r := m.requests[e.request]; r != nil && r.position.ticket == e.ticket {
		return r
	}
	return nil
}

// firstWaiter returns the request that is next in a queue and leaves it there; nil for none.
func (m *Model) firstWaiter(q *requestQueue) *request {
	for {
		e, ok := q.entries.Peek()
		if !ok {
			return nil
		}
		if r := m.waiter(e); r != nil {
			return r
		}
		q.entries.Pop()
	}
}

// removeWaiters removes the entries of the requests for which the predicate returns true, and
// the outdated ones. The removed requests are returned; the caller ends their waits.
func (m *Model) removeWaiters(q *requestQueue, remove func(*request) bool) []*request {
	var removed []*request
	q.entries.RemoveIf(func(e waitEntry) bool {
		r := m.waiter(e)
		if r != nil && remove(r) {
			removed = append(removed, r)
			return true
		}
		return r == nil
	})
	return removed
}

// len returns the number of waiting requests.
func (q *requestQueue) len() int { return q.ahead(fairqueue.Priorities) }

// ahead returns the number of waiting requests at the levels before a level.
func (q *requestQueue) ahead(level int) int {
	n := 0
	for _, waiting := range q.waiting[:level] {
		n += waiting
	}
	return n
}

// turnsBefore estimates the number of requests of a level that are sent before a new one of a
// client account, since accounts take turns.
func (q *requestQueue) turnsBefore(level int, account string) int {
	rounds := float64(q.entries.AccountLen(level, account))
	return min(q.waiting[level], int(rounds*q.entries.ActiveWeight(level, account, 1)))
}

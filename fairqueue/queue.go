// Package fairqueue orders waiting requests: strictly by priority, and inside
// a priority by weighted fair shares among client accounts.
//
// It is start-time fair queueing (Goyal, Vin and Cheng, 1996). Each account
// has a virtual time that advances by cost/weight with every item it has had
// served, so an account that sends much waits behind its own requests and not
// in front of everybody else's. A share that nobody asks for is lent: an idle
// account keeps no credit.
//
//	q := fairqueue.New[string]()
//	q.Push("order", fairqueue.WithAccount("market", 2), fairqueue.WithCost(30))
//	item, ok := q.Pop()
package fairqueue

import "container/heap"

// Priorities is the number of priority levels, 0 being served first.
const Priorities = 10

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	levels [Priorities]level[T]
	length int
	fifo   bool
}

// Option sets up a Queue.
type Option func(*options)

type options struct{ fifo bool }

// WithArrivalOrder makes the queue serve in order of arrival, whatever the
// account and priority. It is the baseline that fair shares are measured
// against.
func WithArrivalOrder() Option { return func(o *options) { o.fifo = true } }

// New returns an empty queue.
func New[T any](opts ...Option) *Queue[T] {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	q := &Queue[T]{fifo: o.fifo}
	for i := range q.levels {
		q.levels[i].flows = make(map[string]*flow[T])
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// AccountLen returns how many items an account has waiting at a priority.
func (q *Queue[T]) AccountLen(priority int, account string) int {
	f := q.levels[priority].flows[account]
	if f == nil {
		return 0
	}
	return len(f.items)
}

// Ahead returns how many items are certain to be served before a priority:
// those that wait at earlier ones.
func (q *Queue[T]) Ahead(priority int) int {
	n := 0
	for p := range priority {
		n += q.levels[p].length
	}
	return n
}

// ActiveWeight returns the summed weights of the accounts that wait at a priority,
// counting the named one with the given weight even if it does not wait yet.
func (q *Queue[T]) ActiveWeight(priority int, account string, weight float64) float64 {
	l := &q.levels[priority]
	sum := l.weight
	if f := l.flows[account]; f == nil || len(f.items) == 0 {
		sum += weight
	}
	return sum
}

// Push adds an item.
func (q *Queue[T]) Push(item T, opts ...PushOption) {
	p := pushOptions{account: "", weight: 1, cost: 1}
	for _, opt := range opts {
		opt(&p)
	}
	if q.fifo {
		p = pushOptions{weight: 1}
	}
	q.levels[p.priority].push(item, p)
	q.length++
}

// Peek returns the item that Pop would return.
func (q *Queue[T]) Peek() (T, bool) {
	for i := range q.levels {
		if q.levels[i].length > 0 {
			return q.levels[i].active[0].items[0].value, true
		}
	}
	var zero T
	return zero, false
}

// Pop removes the item that is served next.
func (q *Queue[T]) Pop() (T, bool) {
	for i := range q.levels {
		if q.levels[i].length > 0 {
			q.length--
			return q.levels[i].pop(), true
		}
	}
	var zero T
	return zero, false
}

// RemoveIf removes every waiting item that the predicate holds for. It takes
// time in proportion to the queue, so it is called once a tick at most.
func (q *Queue[T]) RemoveIf(drop func(T) bool) {
	for i := range q.levels {
		q.length -= q.levels[i].removeIf(drop)
	}
}

// level is one priority: its accounts, and a heap of those with items.
type level[T any] struct {
	flows       map[string]*flow[T]
	active      flowHeap[T]
	virtualTime float64
	length      int
	weight      float64
}

func (l *level[T]) push(item T, p pushOptions) {
	f := l.flows[p.account]
	if f == nil {
		f = &flow[T]{name: p.account}
		l.flows[p.account] = f
	}
	start := max(l.virtualTime, f.finishTag)
	f.finishTag = start + p.cost/p.weight
	f.items = append(f.items, entry[T]{value: item, startTag: start})
	l.length++
	if len(f.items) == 1 {
		f.weight = p.weight
		l.weight += p.weight
		heap.Push(&l.active, f)
	}
}

func (l *level[T]) pop() T {
	f := l.active[0]
	head := f.items[0]
	f.items = f.items[1:]
	l.virtualTime = head.startTag
	l.length--
	if len(f.items) > 0 {
		heap.Fix(&l.active, 0)
		return head.value
	}
	heap.Pop(&l.active)
	l.deactivate(f)
	return head.value
}

// deactivate takes an account out of the sums when nothing of it waits. An account
// whose virtual time has been overtaken is forgotten, so that the map holds
// only accounts that were busy of late.
func (l *level[T]) deactivate(f *flow[T]) {
	l.weight -= f.weight
	if l.length == 0 {
		l.weight = 0
		clear(l.flows)
		l.virtualTime = 0
		return
	}
	if f.finishTag <= l.virtualTime {
		delete(l.flows, f.name)
	}
}

func (l *level[T]) removeIf(drop func(T) bool) int {
	removed := 0
	for _, f := range l.active {
		kept := f.items[:0]
		for _, e := range f.items {
			if !drop(e.value) {
				kept = append(kept, e)
			}
		}
		removed += len(f.items) - len(kept)
		clear(f.items[len(kept):])
		f.items = kept
	}
	if removed == 0 {
		return 0
	}
	l.length -= removed
	l.rebuild()
	return removed
}

func (l *level[T]) rebuild() {
	old := l.active
	l.active = nil
	for _, f := range old {
		if len(f.items) > 0 {
			l.active = append(l.active, f)
			continue
		}
		l.deactivate(f)
	}
	heap.Init(&l.active)
}

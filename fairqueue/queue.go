// Package fairqueue orders waiting requests strictly by priority and, within a
// priority, by weighted fair shares among client accounts.
//
// It implements start-time fair queueing (Goyal, Vin and Cheng, 1996). The virtual
// time of an account advances by cost/weight for each of its items that is served.
// An account that sends many items therefore delays its own items rather than
// those of other accounts. The unused share of an idle account goes to the active
// ones, and the idle account accumulates no credit.
//
//	q := fairqueue.New[string]()
//	q.Push("order", fairqueue.WithAccount("market", 2), fairqueue.WithCost(30))
//	item, ok := q.Pop()
package fairqueue

import "container/heap"

// Priorities is the number of priority levels. Level 0 is served first.
const Priorities = 10

// Queue is a priority queue with fair shares. It is not safe for concurrent use.
type Queue[T any] struct {
	levels [Priorities]level[T]
	length int
	fifo   bool
}

// Option configures a Queue.
type Option func(*options)

type options struct{ fifo bool }

// WithArrivalOrder makes the queue serve items in order of arrival and ignore account,
// priority and cost. It is the baseline for measurements of fair shares.
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

// AccountLen returns the number of waiting items of an account at a priority.
func (q *Queue[T]) AccountLen(priority int, account string) int {
	f := q.levels[priority].flows[account]
	if f == nil {
		return 0
	}
	return len(f.items)
}

// Ahead returns the number of waiting items at the levels served before a priority.
func (q *Queue[T]) Ahead(priority int) int {
	n := 0
	for p := range priority {
		n += q.levels[p].length
	}
	return n
}

// ActiveWeight returns the sum of the weights of the accounts with waiting items at a
// priority. It includes the given account, with the given weight if that account has
// no waiting items.
func (q *Queue[T]) ActiveWeight(priority int, account string, weight float64) float64 {
	l := &q.levels[priority]
	sum := l.weight
	if f := l.flows[account]; f == nil || len(f.items) == 0 {
		sum += weight
	}
	return sum
}

// Push adds an item to the queue.
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

// Peek returns the item that Pop would return, or false if the queue is empty.
func (q *Queue[T]) Peek() (T, bool) {
	for i := range q.levels {
		if q.levels[i].length > 0 {
			return q.levels[i].active[0].items[0].value, true
		}
	}
	var zero T
	return zero, false
}

// Pop removes and returns the next item to be served, or false if the queue is empty.
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

// RemoveIf removes every waiting item for which the predicate returns true. It runs in
// time linear in the length of the queue, so it should run at most once per tick.
func (q *Queue[T]) RemoveIf(remove func(T) bool) {
	for i := range q.levels {
		q.length -= q.levels[i].removeIf(remove)
	}
}

// level is the queue of one priority: its accounts, and a heap of the accounts with
// waiting items.
type level[T any] struct {
	flows       map[string]*flow[T]
	active      flowHeap[T]
	virtualTime float64
	length      int
	// weight is the sum of the weights of the accounts with waiting items.
	weight float64
}

func (l *level[T]) push(item T, p pushOptions) {
	f := l.flows[p.account]
	if f == nil {
		f = &flow[T]{name: p.account}
		l.flows[p.account] = f
	}
	startTag := max(l.virtualTime, f.finishTag)
	f.finishTag = startTag + p.cost/p.weight
	f.items = append(f.items, entry[T]{value: item, startTag: startTag})
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

// deactivate subtracts the weight of an account that has no waiting items left. It
// deletes an account whose finish tag the virtual time has reached, so that the map
// holds only recently active accounts.
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

func (l *level[T]) removeIf(remove func(T) bool) int {
	removed := 0
	for _, f := range l.active {
		kept := f.items[:0]
		for _, e := range f.items {
			if !remove(e.value) {
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

package lab

import (
	"container/heap"

	"github.com/hoistjunction/hoistjunction/clock"
)

// event is something that happens at a time.
type event struct {
	at clock.Millis
	// order keeps events of the same time in the order in which they were planned.
	order uint64
	do    func()
}

// queue holds what is to happen, the earliest first.
type queue struct {
	now    clock.Millis
	events eventHeap
	order  uint64
}

// after plans something for a time from now.
func (q *queue) after(d clock.Millis, do func()) {
	q.order++
	heap.Push(&q.events, &event{at: q.now.Add(max(d, 0)), order: q.order, do: do})
}

// run has everything happen up to a time.
func (q *queue) run(until clock.Millis) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(*event)
		q.now = e.at
		e.do()
	}
	q.now = until
}

// eventHeap implements heap.Interface.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

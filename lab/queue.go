package lab

import (
	"container/heap"

	"github.com/hoistjunction/hoistjunction/clock"
)

// event is something that happens at a time.
type event struct {
	at clock.Millis
	// sequence keeps events of the same time in the order in which they were planned.
	sequence uint64
	action   func()
}

// queue holds what is to happen, the earliest first.
type queue struct {
	now      clock.Millis
	events   eventHeap
	sequence uint64
}

// after plans something for a time from now.
func (q *queue) after(d clock.Millis, do func()) {
	q.sequence++
	heap.Push(&q.events, &event{at: q.now.Add(max(d, 0)), sequence: q.sequence, action: do})
}

// runUntil has everything happen up to a time.
func (q *queue) runUntil(until clock.Millis) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(*event)
		q.now = e.at
		e.action()
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
	return h[i].sequence < h[j].sequence
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

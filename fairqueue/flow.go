package fairqueue

// entry is a waiting item with its virtual start time.
type entry[T any] struct {
	value    T
	startTag float64
}

// flow is one account's line at one priority.
type flow[T any] struct {
	name      string
	weight    float64
	finishTag float64
	items     []entry[T]
}

// flowHeap orders accounts by the virtual start of their first item, and by
// name where that is equal, so that a replay pops in the same order.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int      { return len(h) }
func (h flowHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h flowHeap[T]) Less(i, j int) bool {
	a, b := h[i].items[0].startTag, h[j].items[0].startTag
	if a != b {
		return a < b
	}
	return h[i].name < h[j].name
}

// Push is for container/heap.
func (h *flowHeap[T]) Push(x any) { *h = append(*h, x.(*flow[T])) }

// Pop is for container/heap.
func (h *flowHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

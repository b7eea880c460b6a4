package usage

import (
	"slices"
	"sync"
	"time"
)

// batchDelay is how long items are collected for one batch. If many engines fail at the same
// moment, all nodes detect them within the interval of a probe; at a start, as many get
// placement orders at once. A datagram for each would keep the smallest VMs busy for seconds.
const batchDelay = 30 * time.Millisecond

// batcher sends items in batches. It is safe for concurrent use.
type batcher[T comparable] struct {
	send func([]T)
	// sendFirstAtOnce is set if the first item is sent at once, and only those that follow
	// within batchDelay are collected.
	sendFirstAtOnce bool
	mu              sync.Mutex
	items           []T
	// pending is set while a flush is scheduled.
	pending bool
}

func newBatcher[T comparable](send func([]T)) *batcher[T] { return &batcher[T]{send: send} }

// newImmediateBatcher returns a batcher that sends the first item at once.
func newImmediateBatcher[T comparable](send func([]T)) *batcher[T] {
	return &batcher[T]{send: send, sendFirstAtOnce: true}
}

// add adds an item to the next batch, unless it is in it already.
func (b *batcher[T]) add(item T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(b.items, item) {
		return
	}
	b.items = append(b.items, item)
	if b.pending {
		return
	}
	b.pending = true
	if b.sendFirstAtOnce {
		go b.flush()
	} else {
		time.AfterFunc(batchDelay, b.flush)
	}
}

// flush sends the collected items.
func (b *batcher[T]) flush() {
	if items := b.take(); len(items) > 0 {
		b.send(items)
	}
}

// take returns the collected items and resets them. A batcher that sends first items at once
// schedules the next flush here, unless there were no items.
func (b *batcher[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	b.pending = b.sendFirstAtOnce && len(items) > 0
	if b.pending {
		time.AfterFunc(batchDelay, b.flush)
	}
	return items
}

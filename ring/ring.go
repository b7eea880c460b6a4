// Package ring provides the bounded queues that connect the goroutines of a node.
//
// A full queue refuses items instead of blocking the sender, who decides how to handle the
// refusal.
//
//	r := ring.New[core.Msg](1024)
//	if !r.Offer(msg) {
//	\t// shed
//	}
package ring

import "sync/atomic"

// Ring is a bounded queue between goroutines. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns an empty ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{items: make(chan T, capacity)} }

// Offer adds an item without blocking and reports whether the ring had space for it.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item, waiting for space until done is closed. It reports whether the item was added.
func (r *Ring[T]) Put(item T, done <-chan struct{}) bool {
	select {
	case r.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel from which items are received.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns the number of items that Offer has refused.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

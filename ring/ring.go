// Package ring joins the node's duties: one goroutine puts things in, another
// takes them out, and the space between is bounded.
//
// A full ring refuses, and its user says what that means; nothing waits
// behind somebody else's full ring.
//
//	r := ring.New[core.Msg](1024)
//	if !r.Offer(msg) {
//		// shed
//	}
package ring

import "sync/atomic"

// Ring is a bounded queue between goroutines. All methods are safe for
// concurrent use.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns an empty ring with room for capacity items.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{items: make(chan T, capacity)} }

// Offer adds an item, or refuses at once when there is no room.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds an item, and waits for room until done is closed. It returns
// whether the item was added.
func (r *Ring[T]) Put(item T, done <-chan struct{}) bool {
	select {
	case r.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel to take items from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns how many items are waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns how many items were refused.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

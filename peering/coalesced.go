package peering

import (
	"sync"
	"time"
)

// coalesced makes a call when it is asked for, and not again until a pause is over: what is
// asked for meanwhile is one call. It is safe for concurrent use.
type coalesced struct {
	call  func()
	pause time.Duration

	mu sync.Mutex
	// pauses tells that a pause is under way, and again that there is a call to make after it.
	pauses bool
	again  bool
}

// ask asks for the call. The first one is made before it returns.
func (c *coalesced) ask() {
	c.mu.Lock()
	if c.pauses {
		c.again = true
		c.mu.Unlock()
		return
	}
	c.pauses = true
	c.mu.Unlock()
	c.begin()
}

// begin makes the call, and begins a pause.
func (c *coalesced) begin() {
	c.call()
	time.AfterFunc(c.pause, c.end)
}

// end ends a pause.
func (c *coalesced) end() {
	c.mu.Lock()
	c.pauses, c.again = c.again, false
	pauses := c.pauses
	c.mu.Unlock()
	if pauses {
		c.begin()
	}
}

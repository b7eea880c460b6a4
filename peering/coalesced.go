package peering

import (
	"sync"
	"time"
)

// coalescer makes a call when it is asked for, and not again until a pause is over: what is
// asked for meanwhile is one call. It is safe for concurrent use.
type coalescer struct {
	run   func()
	pause time.Duration

	mu sync.Mutex
	// pausing tells that a pause is under way, and again that there is a call to make after it.
	pausing bool
	pending bool
}

// trigger asks for the call. The first one is made before it returns.
func (c *coalescer) trigger() {
	c.mu.Lock()
	if c.pausing {
		c.pending = true
		c.mu.Unlock()
		return
	}
	c.pausing = true
	c.mu.Unlock()
	c.start()
}

// start makes the call, and begins a pause.
func (c *coalescer) start() {
	c.run()
	time.AfterFunc(c.pause, c.endPause)
}

// endPause ends a pause.
func (c *coalescer) endPause() {
	c.mu.Lock()
	c.pausing, c.pending = c.pending, false
	pauses := c.pausing
	c.mu.Unlock()
	if pauses {
		c.start()
	}
}

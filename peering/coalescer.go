package peering

import (
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/internal/contain"
)

// coalescer runs a function when triggered, but not again during the pause that follows.
// Triggers during the pause lead to one run after it. It is safe for concurrent use.
type coalescer struct {
	run   func()
	pause time.Duration
	guard contain.GuardFunc

	mu sync.Mutex
	// pausing is set during the pause after a run, and pending if a run is due after the pause.
	pausing bool
	pending bool
}

// trigger requests a run. Outside of a pause, the run completes before trigger returns.
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

// start runs the function, and then starts a pause.
func (c *coalescer) start() {
	c.run()
	time.AfterFunc(c.pause, func() { c.guard("end_of_pause", c.endPause) })
}

// endPause ends the pause, and runs the function if it was triggered meanwhile.
func (c *coalescer) endPause() {
	c.mu.Lock()
	c.pausing, c.pending = c.pending, false
	runAgain := c.pausing
	c.mu.Unlock()
	if runAgain {
		c.start()
	}
}

package clock

import (
	"context"
	"time"
)

// waitCheckInterval is how late Until may end after a suspension.
const waitCheckInterval = 50 * time.Millisecond

// WaitUntil waits until a time of the clock, or until the context ends. Unlike a timer it counts
// the time for which the VM is suspended.
func (c *Clock) WaitUntil(ctx context.Context, at Millis) {
	for ctx.Err() == nil && c.Now() < at {
		Sleep(ctx, min(at.Sub(c.Now()).Duration(), waitCheckInterval))
	}
}

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

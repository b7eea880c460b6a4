package clock

import (
	"context"
	"time"
)

// untilCheck is how late Until may end after a suspension.
const untilCheck = 50 * time.Millisecond

// Until waits until a time of the clock, or until the context ends. Unlike a timer it counts
// the time for which the VM is suspended.
func (c *Clock) Until(ctx context.Context, at Millis) {
	for ctx.Err() == nil && c.Now() < at {
		Pause(ctx, min(at.Sub(c.Now()).Duration(), untilCheck))
	}
}

// Pause waits for a time, or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

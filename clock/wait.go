package clock

import (
	"context"
	"time"
)

// waitCheckInterval bounds the delay of WaitUntil after a suspension of the VM.
const waitCheckInterval = 50 * time.Millisecond

// WaitUntil waits until the clock reaches a time or the context ends. Unlike a timer, it counts
// the time during which the VM is suspended.
func (c *Clock) WaitUntil(ctx context.Context, at Millis) {
	for ctx.Err() == nil && c.Now() < at {
		Sleep(ctx, min(at.Sub(c.Now()).Duration(), waitCheckInterval))
	}
}

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

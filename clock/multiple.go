package clock

import (
	"context"
	"time"
)

// UntilMultiple returns the time until the VM has run for the next multiple of an interval. What a process does
// periodically wakes it seldom if all of it waits for multiples of a few intervals.
func (c *Clock) UntilMultiple(interval time.Duration) time.Duration {
	return untilMultiple(c.vm, interval)
}

// SleepToMultiple waits until the VM has run for the next multiple of an interval, or the context ends.
func (c *Clock) SleepToMultiple(ctx context.Context, interval time.Duration) {
	Sleep(ctx, c.UntilMultiple(interval))
}

func untilMultiple(vm VM, interval time.Duration) time.Duration {
	return interval - vm.Steady()%interval
}

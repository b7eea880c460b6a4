package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// wakeCheck is how often it is looked whether the VM was suspended. Timers fire later
	// by the time slept, so it is the delay of a wake-up in the worst case.
	wakeCheck = 50 * time.Millisecond
	// leastSuspension is how much more time must have passed than the VM has run. Both
	// clocks are read one after the other, and the thread may be kept waiting in between.
	leastSuspension = 250 * time.Millisecond
)

// Wakes tells when the VM goes on after a suspension. Timers and the deadlines of the
// standard library count in the steady clock, so all that were set before fire later by the
// time slept; connections may be long dead. It is safe for concurrent use.
type Wakes struct {
	vm    VM
	mu    sync.Mutex
	tells []func(slept Millis)
}

// Wakes returns who tells of suspensions of the clock's VM. Run makes it work.
func (c *Clock) Wakes() *Wakes { return &Wakes{vm: c.vm} }

// Tell has a function called after each suspension, one after the other. It must not wait.
func (w *Wakes) Tell(f func(slept Millis)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tells = append(w.tells, f)
}

// Run looks until the context ends.
func (w *Wakes) Run(ctx context.Context) error {
	tick := time.NewTicker(wakeCheck)
	defer tick.Stop()
	before := w.suspended()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := w.suspended()
		if now-before >= leastSuspension {
			w.wake(FromDuration(now - before))
			before = now
		}
		before = min(before, now)
	}
}

// suspended is for how long the VM has been suspended in all.
func (w *Wakes) suspended() time.Duration {
	steady := w.vm.Steady()
	return w.vm.Elapsed() - steady
}

func (w *Wakes) wake(slept Millis) {
	w.mu.Lock()
	tells := w.tells
	w.mu.Unlock()
	for _, tell := range tells {
		tell(slept)
	}
}

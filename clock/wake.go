package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// suspensionCheckInterval is how often it is looked whether the VM was suspended. Timers fire later
	// by the time slept, so it is the delay of a wake-up in the worst case.
	suspensionCheckInterval = 50 * time.Millisecond
	// minSuspension is how much more time must have passed than the VM has run. Both
	// clocks are read one after the other, and the thread may be kept waiting in between.
	minSuspension = 250 * time.Millisecond
)

// Suspensions tells when the VM goes on after a suspension. Timers and the deadlines of the
// standard library count in the steady clock, so all that were set before fire later by the
// time slept; connections may be long dead. It is safe for concurrent use.
type Suspensions struct {
	vm        VM
	mu        sync.Mutex
	callbacks []func(slept Millis)
}

// Suspensions returns who tells of suspensions of the clock's VM. Run makes it work.
func (c *Clock) Suspensions() *Suspensions { return &Suspensions{vm: c.vm} }

// OnResume has a function called after each suspension, one after the other. It must not wait.
func (w *Suspensions) OnResume(f func(slept Millis)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callbacks = append(w.callbacks, f)
}

// Run looks until the context ends.
func (w *Suspensions) Run(ctx context.Context) error {
	tick := time.NewTicker(suspensionCheckInterval)
	defer tick.Stop()
	before := w.suspended()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := w.suspended()
		if now-before >= minSuspension {
			w.notify(FromDuration(now - before))
			before = now
		}
		before = min(before, now)
	}
}

// suspended is for how long the VM has been suspended in all.
func (w *Suspensions) suspended() time.Duration {
	steady := w.vm.Steady()
	return w.vm.Elapsed() - steady
}

func (w *Suspensions) notify(slept Millis) {
	w.mu.Lock()
	tells := w.callbacks
	w.mu.Unlock()
	for _, tell := range tells {
		tell(slept)
	}
}

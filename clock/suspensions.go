package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// suspensionCheckInterval is the interval of the checks for a suspension. The check's timer
	// does not advance during a suspension, so the interval is also the maximum delay of a
	// notification after the VM resumes.
	suspensionCheckInterval = 50 * time.Millisecond
	// minSuspension is the minimum difference between elapsed and running time that counts as a
	// suspension. Smaller differences occur without one: the two clocks are read one after the
	// other, and the thread may be preempted in between.
	minSuspension = 250 * time.Millisecond
)

// Suspensions detects suspensions of the VM and calls functions after each one. Timers and
// deadlines of the standard library use the steady clock, so those set before a suspension fire
// late by its duration, and connections may be long dead. Suspensions is safe for concurrent use.
type Suspensions struct {
	vm        VM
	mu        sync.Mutex
	callbacks []func(suspension Millis)
}

// Suspensions returns a detector of suspensions of the clock's VM. It works while Run is running.
func (c *Clock) Suspensions() *Suspensions { return &Suspensions{vm: c.vm} }

// OnResume adds a function that is called with the suspended time after each suspension. The
// functions are called one after the other and must not block.
func (s *Suspensions) OnResume(f func(suspension Millis)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callbacks = append(s.callbacks, f)
}

// Run checks for suspensions until the context ends.
func (s *Suspensions) Run(ctx context.Context) error {
	timer := time.NewTimer(untilMultiple(s.vm, suspensionCheckInterval))
	defer timer.Stop()
	before := s.suspended()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		timer.Reset(untilMultiple(s.vm, suspensionCheckInterval))
		now := s.suspended()
		if now-before >= minSuspension {
			s.notify(FromDuration(now - before))
			before = now
		}
		before = min(before, now)
	}
}

// suspended returns the total time for which the VM has been suspended.
func (s *Suspensions) suspended() time.Duration {
	steady := s.vm.Steady()
	return s.vm.Elapsed() - steady
}

func (s *Suspensions) notify(suspension Millis) {
	s.mu.Lock()
	callbacks := s.callbacks
	s.mu.Unlock()
	for _, call := range callbacks {
		call(suspension)
	}
}

// Package clocktest has a VM that a test can suspend.
package clocktest

import (
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
)

// VM is a VM whose clocks go on as the test's own, and which can be suspended. It
// implements clock.VM.
type VM struct {
	start     time.Time
	suspended atomic.Int64
}

// NewVM returns a VM that was never suspended.
func NewVM() *VM { return &VM{start: time.Now()} }

// Suspend has the VM be as after a suspension of a time: it has run for no longer, and
// that time has passed.
func (v *VM) Suspend(d time.Duration) { v.suspended.Add(int64(d)) }

// Steady is the time for which the VM has run.
func (v *VM) Steady() time.Duration { return time.Since(v.start) }

// Elapsed is the time that has passed.
func (v *VM) Elapsed() time.Duration { return v.Steady() + time.Duration(v.suspended.Load()) }

// NewClock returns a clock that goes as the test's own time does, also where that is not
// the kernel's.
func NewClock() *clock.Clock { return clock.New(clock.WithVM(NewVM())) }

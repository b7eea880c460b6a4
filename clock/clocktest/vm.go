// Package clocktest provides a VM that a test can suspend.
package clocktest

import (
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
)

// VM is a VM whose clocks advance with the test's clock and which can be suspended. It implements
// clock.VM.
type VM struct {
	start     time.Time
	suspended atomic.Int64
}

// NewVM returns a VM without suspensions so far.
func NewVM() *VM { return &VM{start: time.Now()} }

// Suspend adds a suspension: Elapsed advances by d, and Steady does not.
func (v *VM) Suspend(d time.Duration) { v.suspended.Add(int64(d)) }

// Steady returns the time that the VM has run.
func (v *VM) Steady() time.Duration { return time.Since(v.start) }

// Elapsed returns the time that has passed, including suspensions.
func (v *VM) Elapsed() time.Duration { return v.Steady() + time.Duration(v.suspended.Load()) }

// NewClock returns a clock that advances with the test's clock, also in a test with simulated
// time.
func NewClock() *clock.Clock { return clock.New(clock.WithVM(NewVM())) }

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// VM reads the clocks of the VM that a process runs on.
type VM interface {
	// Steady is the time for which the VM has run. The time for which it was suspended
	// is not in it; timers count in it.
	Steady() time.Duration
	// Elapsed is the time that has passed, also while the VM was suspended.
	Elapsed() time.Duration
}

// systemVM reads the clocks of the kernel.
type systemVM struct{ start time.Time }

// Steady implements VM.
func (v systemVM) Steady() time.Duration { return time.Since(v.start) }

// Elapsed implements VM.
func (v systemVM) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39. Without it nothing here can be trusted
		// to be as young as it looks.
		panic(err)
	}
	return time.Duration(t.Nano())
}

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// VM reads the clocks of the VM that the process runs on.
type VM interface {
	// Steady returns the time that the VM has run, without suspensions. Timers follow this clock.
	Steady() time.Duration
	// Elapsed returns the time that has passed, including suspensions of the VM.
	Elapsed() time.Duration
}

// systemVM reads the kernel's clocks.
type systemVM struct{ start time.Time }

// Steady implements VM.
func (v systemVM) Steady() time.Duration { return time.Since(v.start) }

// Elapsed implements VM.
func (v systemVM) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since version 2.6.39. Without it, the age of data would not
		// include suspensions.
		panic(err)
	}
	return time.Duration(t.Nano())
}

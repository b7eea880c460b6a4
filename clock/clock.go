package clock

import "time"

// Clock measures the time since its creation. It also advances while the VM is suspended, unlike
// the monotonic clock of time.Now, so that the age of data includes suspensions. Changes of the
// wall clock do not affect it.
type Clock struct {
	vm    VM
	start time.Duration
}

// Option configures a Clock.
type Option func(*Clock)

// WithVM sets the VM whose clocks are read, for tests.
func WithVM(vm VM) Option { return func(c *Clock) { c.vm = vm } }

// New returns a clock that starts at zero.
func New(opts ...Option) *Clock {
	c := &Clock{vm: thisVM()}
	for _, opt := range opts {
		opt(c)
	}
	c.start = c.vm.Elapsed()
	return c
}

// Now returns the time since the clock was created.
func (c *Clock) Now() Millis { return FromDuration(c.vm.Elapsed() - c.start) }

// Wall returns the wall time in milliseconds since 1970. It is only for records that people read:
// decisions must not depend on it.
func (c *Clock) Wall() int64 { return time.Now().UnixMilli() }

package clock

import "time"

// Clock tells the time since it was made. It goes on while the VM is suspended, so that what
// was known before a suspension is as old as it is; the steady clock of time.Now stands
// still meanwhile. A step of the wall clock does not move it.
type Clock struct {
	vm    VM
	start time.Duration
}

// Option sets up a Clock.
type Option func(*Clock)

// WithVM sets whose clocks are read, for tests.
func WithVM(vm VM) Option { return func(c *Clock) { c.vm = vm } }

// New starts a clock at zero.
func New(opts ...Option) *Clock {
	c := &Clock{vm: thisVM()}
	for _, opt := range opts {
		opt(c)
	}
	c.start = c.vm.Elapsed()
	return c
}

// Now returns the time since the clock was made.
func (c *Clock) Now() Millis { return FromDuration(c.vm.Elapsed() - c.start) }

// Wall returns the wall time in milliseconds since 1970. It is for records
// that people read; no decision may depend on it.
func (c *Clock) Wall() int64 { return time.Now().UnixMilli() }

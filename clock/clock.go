package clock

import "time"

// Clock tells the time since it was made. It reads the monotonic clock, so a
// step of the wall clock does not move it.
type Clock struct {
	start time.Time
}

// New starts a clock at zero.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the time since the clock was made.
func (c *Clock) Now() Millis { return FromDuration(time.Since(c.start)) }

// Wall returns the wall time in milliseconds since 1970. It is for records
// that people read; no decision may depend on it.
func (c *Clock) Wall() int64 { return time.Now().UnixMilli() }

// Package clock provides the time source and the time type of the project.
//
// All decisions use Millis and receive the current time as a parameter. Only the code around the
// decision logic reads a Clock, so that a recorded run can be replayed with its original times.
//
//	c := clock.New()
//	deadline := c.Now().Add(1200)
package clock

import "time"

// Millis is a point in time or a duration, in milliseconds. A point in time counts from the start
// of the process and never goes backwards.
type Millis int64

// Add returns the time d after m.
func (m Millis) Add(d Millis) Millis { return m + d }

// AddFull returns the first time at which d has passed for certain since an event that was read as
// at m. Times are rounded down, so the event may have been up to a millisecond later than m.
func (m Millis) AddFull(d Millis) Millis { return m + d + 1 }

// Sub returns the duration from earlier to m.
func (m Millis) Sub(earlier Millis) Millis { return m - earlier }

// Duration converts a duration to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds returns the duration in whole seconds, rounded up, as HTTP's Retry-After header
// requires.
func (m Millis) Seconds() int64 { return int64((m + 999) / 1000) }

// FromDuration converts a time.Duration to Millis, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

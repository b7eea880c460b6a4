// Package clock holds the project's one notion of time.
//
// All decisions count in Millis, and get the time handed to them. Only the
// shell owns a Clock, so that a recorded run replays with the times it had.
//
//	c := clock.New()
//	deadline := c.Now().Add(1200)
package clock

import "time"

// Millis is a time or a span of time, in milliseconds. As a time it counts
// from the start of the process and never runs backwards.
type Millis int64

// Add returns the time d later.
func (m Millis) Add(d Millis) Millis { return m + d }

// Sub returns the span from earlier to m.
func (m Millis) Sub(earlier Millis) Millis { return m - earlier }

// Duration converts a span for the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds returns the span in whole seconds, rounded up. HTTP's Retry-After
// header wants them so.
func (m Millis) Seconds() int64 { return int64((m + 999) / 1000) }

// FromDuration converts a span from the standard library, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

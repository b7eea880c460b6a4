package clock

import "math"

// Never is earlier than any other time, and marks an event that has not happened. Zero does not
// work for this, because times before the start of the process are negative. The value is far
// enough from the minimum that a duration computed from it does not overflow.
const Never Millis = math.MinInt64 / 4

// AgeOf returns the duration from at to now, or -1 if at is Never.
func AgeOf(at, now Millis) Millis {
	if at == Never {
		return -1
	}
	return now.Sub(at)
}

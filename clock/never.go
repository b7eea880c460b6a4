package clock

import "math"

// Never is a time before all others: that of something which has not happened.
// Times before the process's own start are negative, so zero would not do. It is
// far enough from the least number for a span not to overflow.
const Never Millis = math.MinInt64 / 4

// AgeOf returns how long ago a time was; -1 for Never.
func AgeOf(at, now Millis) Millis {
	if at == Never {
		return -1
	}
	return now.Sub(at)
}

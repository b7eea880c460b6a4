package standin

import "time"

// loadSample is a load that is only measured now and then.
type loadSample struct {
	load     int
	measured time.Time
}

// read returns the load as of the last measurement, and that one's age in
// milliseconds.
func (l *loadSample) read(now time.Time, load int, lag time.Duration) (uint32, uint32) {
	if now.Sub(l.measured) >= lag {
		l.load = load
		l.measured = now
	}
	return uint32(l.load), uint32(now.Sub(l.measured).Milliseconds())
}

package standin

import "time"

// loadSample is a load that is measured at intervals.
type loadSample struct {
	load     int
	measured time.Time
}

// read returns the measured load and the age of the measurement in ms. Once the
// age reaches interval, current becomes the new measurement.
func (l *loadSample) read(now time.Time, current int, interval time.Duration) (uint32, uint32) {
	if now.Sub(l.measured) >= interval {
		l.load = current
		l.measured = now
	}
	return uint32(l.load), uint32(now.Sub(l.measured).Milliseconds())
}

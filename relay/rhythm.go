package relay

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// gapStall is after how long without an event the engines are asked what
	// holds a stream up; events come every 20 to 40 ms. Of 4,700 streams in a calm
	// time of the large deployment the longest pause was under 104 ms for 99 in 100,
	// and a pause of 200 to 300 ms is late: at 150 ms half of the streams that were
	// moved off lost engines missed that by under 100 ms.
	gapStall clock.Millis = 110
	// stallPauses is the same in the stream's own usual pauses. One that passes a
	// slow engine would ask at every event: 65,000 questions on a day with 13 slow
	// engines, each at the price of a health check.
	stallPauses = 2.5
	// pauseWeight is the weight of a new pause in the usual one.
	pauseWeight = 0.2
)

// rhythm is how fast a stream's events come.
type rhythm struct {
	last    clock.Millis
	started bool
	// usual is the mean pause between events, in ms; zero before the second.
	usual float64
}

// note takes in that an event has come.
func (r *rhythm) note(now clock.Millis) {
	pause := float64(now.Sub(r.last))
	switch {
	case !r.started:
		r.started = true
	case r.usual == 0:
		r.usual = pause
	default:
		r.usual += pauseWeight * (pause - r.usual)
	}
	r.last = now
}

// stallAfter is after which pause the stream counts as standing still.
func (r *rhythm) stallAfter() clock.Millis {
	return max(gapStall, clock.Millis(stallPauses*r.usual))
}

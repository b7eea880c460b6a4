package standin

import "time"

// limiter lets so many calls through a second, with a second's worth saved up
// at the most.
type limiter struct {
	rate  float64
	saved float64
	last  time.Time
}

func newLimiter(rate float64) limiter { return limiter{rate: rate, saved: rate} }

func (l *limiter) allow(now time.Time) bool {
	if !l.last.IsZero() {
		l.saved = min(l.saved+now.Sub(l.last).Seconds()*l.rate, l.rate)
	}
	l.last = now
	if l.saved < 1 {
		return false
	}
	l.saved--
	return true
}

package standin

import "time"

// rateLimiter lets so many calls through a second, with a second's worth saved up
// at the most.
type rateLimiter struct {
	callsPerSecond float64
	tokens         float64
	updatedAt      time.Time
}

func newRateLimiter(rate float64) rateLimiter { return rateLimiter{callsPerSecond: rate, tokens: rate} }

func (l *rateLimiter) allow(now time.Time) bool {
	if !l.updatedAt.IsZero() {
		l.tokens = min(l.tokens+now.Sub(l.updatedAt).Seconds()*l.callsPerSecond, l.callsPerSecond)
	}
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

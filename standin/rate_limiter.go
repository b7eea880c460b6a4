package standin

import "time"

// rateLimiter is a token bucket. Its capacity is the calls of one second.
type rateLimiter struct {
	callsPerSecond float64
	tokens         float64
	updatedAt      time.Time
}

func newRateLimiter(rate float64) rateLimiter { return rateLimiter{callsPerSecond: rate, tokens: rate} }

// allow reports whether a call is within the rate, and takes a token if so.
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

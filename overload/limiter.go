package overload

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// maxTypical is the typical delay from which a node is overloaded. A stream has a pause
	// that is longer by several such delays, and late from 200 ms on.
	maxTypical clock.Millis = 25
	// decreaseInterval is the least time between two decreases: a decrease shows in the delay only
	// after the connections taken before have been worked on.
	decreaseInterval clock.Millis = 150
	// decreaseFactor and increasePerSecond change the rate.
	decreaseFactor    = 0.7
	increasePerSecond = 1.0
	// minRate and minRatePerCore give the least rate, in connections a second: a ready node always takes
	// some, and what delays it may be other work than theirs, as after a start. A core bears some 250
	// streams a second.
	minRate        = 5.0
	minRatePerCore = 50.0
	// rateWindow is the time over which the connections that come are counted, and
	// freeAfter how long none must have been left unread until the limit ends.
	rateWindow clock.Millis = 1000
	freeAfter  clock.Millis = 5000
	// burstTime is the time for which unused rate is kept.
	burstTime clock.Millis = 100
)

// Limiter decides how many new connections a node takes. Without overload it takes all. In overload it
// begins below the rate that came and follows the typical delay: less while there is one, more
// while there is none.
type Limiter struct {
	// least is the least rate.
	least   float64
	limited bool
	// rate is the number of connections taken a second, and tokens how many may be taken now.
	rate, tokens float64
	adjustedAt   clock.Millis
	decreasedAt  clock.Millis
	leftAt       clock.Millis
	// taken counts the connections taken in the current and the last rateWindow.
	taken, takenBefore int
	windowAt           clock.Millis
}

// NewLimiter returns a limiter for a node with a number of cores, which may be a fraction.
func NewLimiter(cores float64) *Limiter {
	return &Limiter{least: max(minRate, minRatePerCore*cores)}
}

// Overloaded reports whether the rate of new connections is limited.
func (l *Limiter) Overloaded() bool { return l.limited }

// Rate returns the limit in connections a second; zero for none.
func (l *Limiter) Rate() float64 {
	if !l.limited {
		return 0
	}
	return l.rate
}

// Adjust follows the typical delay. It reports whether the limit has begun or ended.
func (l *Limiter) Adjust(now, typical clock.Millis) bool {
	elapsed := float64(now.Sub(l.adjustedAt)) / 1000
	l.adjustedAt = now
	l.roll(now)
	if !l.limited {
		if typical < maxTypical {
			return false
		}
		l.limited, l.decreasedAt, l.leftAt = true, now, now
		l.rate, l.tokens = max(l.recentRate(now)*decreaseFactor, l.least), 0
		return true
	}
	switch {
	case typical >= maxTypical && now.Sub(l.decreasedAt) >= decreaseInterval:
		l.rate, l.decreasedAt = max(l.rate*decreaseFactor, l.least), now
	case typical < maxTypical/2:
		l.rate += l.rate * increasePerSecond * elapsed
	}
	l.tokens = min(l.tokens+l.rate*elapsed, max(l.rate*float64(burstTime)/1000, 1))
	if now.Sub(l.leftAt) >= freeAfter && typical < maxTypical/2 {
		l.limited = false
		return true
	}
	return false
}

// Admit reports whether a new connection is taken.
func (l *Limiter) Admit(now clock.Millis) bool {
	l.roll(now)
	switch {
	case !l.limited:
	case l.tokens >= 1:
		l.tokens--
	case l.recentRate(now) < l.least:
		// So few are not what delays the node, even if they come at once.
	default:
		l.leftAt = now
		return false
	}
	l.taken++
	return true
}

// roll begins a new window of the count.
func (l *Limiter) roll(now clock.Millis) {
	passed := now.Sub(l.windowAt)
	switch {
	case passed < rateWindow:
	case passed < 2*rateWindow:
		l.windowAt, l.takenBefore, l.taken = l.windowAt.Add(rateWindow), l.taken, 0
	default:
		l.windowAt, l.takenBefore, l.taken = now, 0, 0
	}
}

// recentRate returns the connections taken a second.
func (l *Limiter) recentRate(now clock.Millis) float64 {
	share := 1 - float64(now.Sub(l.windowAt))/float64(rateWindow)
	return float64(l.taken) + share*float64(l.takenBefore)
}

package overload

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// play offers connections at a rate, in connections a second, for a time from now on, while the typical
// delay is that of delayOf for the rate that is taken. It returns how many were offered and taken.
func play(l *Limiter, now *clock.Millis, rate int, during clock.Millis, delayOf func(rate float64) clock.Millis) (offered, taken int) {
	takenInStep := 0
	for end := now.Add(during); *now < end; *now = now.Add(1) {
		if int64(*now)%int64(Interval) == 0 {
			l.Adjust(*now, delayOf(float64(takenInStep)*1000/float64(Interval)))
			takenInStep = 0
		}
		if int64(*now)%(1000/int64(rate)) == 0 {
			offered++
			if l.Admit(*now) {
				taken++
				takenInStep++
			}
		}
	}
	return offered, taken
}

// bears returns the typical delay of a node that bears a number of connections a second.
func bears(most float64) func(float64) clock.Millis {
	return func(rate float64) clock.Millis {
		if rate > most {
			return 2 * maxTypical
		}
		return 0
	}
}

func TestLimiterTakesAllWithoutOverload(t *testing.T) {
	l, now := NewLimiter(0.2), clock.Millis(0)
	if offered, taken := play(l, &now, 200, 5000, bears(1000)); taken != offered || l.Overloaded() {
		t.Errorf("got %d of %d connections taken, overloaded %v, want all and false", taken, offered, l.Overloaded())
	}
}

func TestLimiterFollowsWhatTheNodeBears(t *testing.T) {
	l, now := NewLimiter(0.2), clock.Millis(0)
	play(l, &now, 250, 5000, bears(80))
	if _, taken := play(l, &now, 250, 10_000, bears(80)); taken < 300 || taken > 1000 {
		t.Errorf("got %d connections taken in 10 s by a node that bears 80 a second, want 300 to 1000", taken)
	}
	if !l.Overloaded() {
		t.Error("got no overload while connections are left unread")
	}
	play(l, &now, 10, freeAfter+1000, bears(80))
	if l.Overloaded() {
		t.Error("got an overload after the connections have become few, want none")
	}
}

// A node that is late by other work than its connections', as after a start, must still take some.
func TestLimiterTakesSomeAtAllTimes(t *testing.T) {
	for _, cores := range []float64{0.05, 0.2, 1} {
		l, now := NewLimiter(cores), clock.Millis(0)
		offered, taken := play(l, &now, 500, 10_000, func(float64) clock.Millis { return 10 * maxTypical })
		if least := int(9 * max(minRate, minRatePerCore*cores)); taken < least || taken > 2*least {
			t.Errorf("%.2f cores: got %d of %d connections taken in 10 s, want %d to %d", cores, taken, offered, least, 2*least)
		}
	}
}

// Guards against a node that leaves connections unread although they are not what delays it: a new
// configuration keeps it busy, and a few clients whose node stops connect within a moment.
func TestLimiterTakesFewConnectionsAtOnce(t *testing.T) {
	const cores, late = 0.4, 2 * maxTypical
	least := int(minRatePerCore * cores)
	l, now := NewLimiter(cores), clock.Millis(0)
	play(l, &now, 1, 3000, func(float64) clock.Millis { return late })
	if !l.Overloaded() {
		t.Fatal("got no overload at a node that runs late")
	}
	for i := range least - 1 {
		if !l.Admit(now) {
			t.Fatalf("got connection %d of %d within a moment left unread", i+1, least-1)
		}
	}
	taken := 0
	for range 10 * least {
		if l.Admit(now) {
			taken++
		}
	}
	if taken > least/2 {
		t.Errorf("got %d more connections taken within the same moment, want at most %d", taken, least/2)
	}
}

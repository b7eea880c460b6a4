package fairshare

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// tolerance is by how much the use of a limited account may exceed its share, as a part of the
	// share. Its requests are admitted at a rate that leads to that use, so that random variation
	// does not take the account below its share.
	tolerance = 0.25
	// limitedTime is how long the use of an account must stay below the share until all of its
	// requests are admitted again. An account that asks for more than its share rises above it within
	// this time. Without it, all nodes would admit every retry of such an account during the age of
	// a report, and fill the engines.
	limitedTime clock.Millis = 2000
	// streamTime is the time in ms in which the use approaches the value that a rate of new requests
	// leads to. Streams last one to three seconds.
	streamTime = 2200.0
	// correction is the exponent with which the rate follows the ratio of the intended use to the
	// actual one. It makes up for nodes that receive few requests of the account and for streams of
	// other durations. The effect of the rate is known only 0.6 s later, so a stronger correction makes
	// the loop of all nodes oscillate.
	correction = 1.5
	// maxCorrection bounds the factor on the rate, for accounts that send to few of the nodes.
	maxCorrection = 16.0
	// maxSavedTime bounds the allowance of a node that receives no requests of the account for a
	// while, as the time in ms in which it accrues.
	maxSavedTime = 4000.0
)

// account is the state of a client account at a service under contention.
type account struct {
	// use is the use over all nodes at the last observation.
	use float64
	// limited reports whether requests are held back, and aboveAt when the use last was above the share.
	limited bool
	aboveAt clock.Millis
	// rate is this node's part of the admitted use, in tokens times layers per ms. allowance is the
	// amount in tokens times layers that it may admit as of accruedAt. An admitted request may exceed
	// the allowance, which is negative then.
	rate      float64
	allowance float64
	accruedAt clock.Millis
	// begun reports whether the allowance has been set.
	begun bool
}

// observe records a new use and the share that follows from the uses of all accounts. part is the
// part of the rate of all nodes that this node admits.
func (a *account) observe(now clock.Millis, use, share, part float64) {
	a.accrue(now)
	a.use = use
	intended := share * (1 + tolerance)
	switch {
	case use >= intended:
		a.limited, a.aboveAt = true, now
	case use >= share:
		a.aboveAt = now
	case now > a.aboveAt.Add(limitedTime):
		a.limited, a.begun = false, false
	}
	factor := min(math.Pow(intended/use, correction), maxCorrection)
	a.rate = part * factor * intended / streamTime
}

// accrue adds what has accrued since the last call to the allowance.
func (a *account) accrue(now clock.Millis) {
	elapsed := float64(max(now.Sub(a.accruedAt), 0))
	a.allowance = min(a.allowance+a.rate*elapsed, a.rate*maxSavedTime)
	a.accruedAt = now
}

// admits decides on a request.
func (a *account) admits(now clock.Millis, r Request) bool {
	if !a.limited {
		return true
	}
	if !a.begun {
		// The first allowance differs between nodes. Otherwise all would admit a request at the same
		// time.
		a.begun, a.allowance, a.accruedAt = true, -r.Draw*r.Amount, now
	}
	a.accrue(now)
	return a.allowance >= 0
}

// sent subtracts a request from the allowance.
func (a *account) sent(amount float64) {
	if a.limited && a.begun {
		a.allowance -= amount
	}
}

// timeToFall estimates the time until the use is below the share, if the requests in progress end
// and no others begin.
func (a *account) timeToFall(share float64) clock.Millis {
	if a.use <= share || share <= 0 {
		return 0
	}
	return clock.Millis(streamTime * math.Log(a.use/share))
}

// interval returns the time in which this node's part of the admitted use accrues for a request.
func (a *account) interval(amount float64) clock.Millis {
	if a.rate <= 0 {
		return 0
	}
	return clock.Millis(amount / a.rate)
}

// timeToAccrue returns the time until this node may admit the next request.
func (a *account) timeToAccrue() clock.Millis {
	if a.allowance >= 0 || a.rate <= 0 {
		return 0
	}
	return clock.Millis(-a.allowance / a.rate)
}

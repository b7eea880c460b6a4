package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

// Policy is what operators may set.
type Policy struct {
	// RevokeWithin is how old the newest configuration may be for a request
	// with a key; zero for no bound.
	RevokeWithin clock.Millis
	// RetryShare and RetrySlack are the whole system's budget of repeats: a
	// share of the first tries, and a number beyond it, in each RetryWindow.
	RetryWindow clock.Millis
	RetryShare  float64
	RetrySlack  float64
	// QuarantineLasts is for how long a request that ends upstreams is sent to none; zero
	// for the usual time.
	QuarantineLasts clock.Millis
}

// usualQuarantine is for how long a request that ends upstreams is sent to none. Callers
// repeat within minutes; after an hour operators have had time to mend the upstreams, and
// three more of them find out if they have not.
const usualQuarantine clock.Millis = 3_600_000

// quarantineLasts is for how long a request that ends upstreams is sent to none.
func (p Policy) quarantineLasts() clock.Millis {
	if p.QuarantineLasts == 0 {
		return usualQuarantine
	}
	return p.QuarantineLasts
}

// Figures of the decisions, with where they come from.
const (
	// freshMargin is taken off RevokeWithin: a decision and the write to the
	// socket lie between the check and the arrival. Ten times the worst pause
	// of a throttled node's loop.
	freshMargin clock.Millis = 700
	// mostSends bounds the sendings of one request, refused ones included, so
	// that a request does not walk through the whole fleet. A long stream may
	// outlive several engines while servers are replaced.
	mostSends = 8
	// firstSuspicion is how long an upstream is avoided after a first failure;
	// it doubles with each further one, up to longestSuspicion.
	firstSuspicion   clock.Millis = 400
	longestSuspicion clock.Millis = 6000
	// longestSilence bounds the pause between probes of an engine that answers none,
	// which doubles too: most have ended, and come back under other names. Sixty
	// nodes that probed nine lost engines each 0.4 s asked 22,000 times on a day,
	// each at the price of a health check.
	longestSilence clock.Millis = 3200
	// answerLasts is for how long a suspect that has answered a probe may get work
	// where nobody else holds its layers.
	answerLasts clock.Millis = 2000
	// fullFor is how long an engine that lacked room is avoided: the time in
	// which about one request ends there.
	fullFor clock.Millis = 150
	// longestFull bounds that time, which doubles with each refusal in a row,
	// and refusalsToProbe is after how many of them the engine is probed.
	longestFull     clock.Millis = 3000
	refusalsToProbe int          = 2
	// shedsFor is for how long after a refusal an engine that refuses at random counts as
	// such, and roomy the part of its memory that it must have left: what is taken there in
	// the 0.2 s by which its word is late is less.
	shedsFor clock.Millis = 2000
	roomy    float64      = 0.5
	// mostShed is how many refusals in a row, without a stream that ended well, an engine
	// may shed: one that takes half has that many in a row once in 250.
	mostShed int = 8
	// reportLasts is for how long an engine's word on its memory counts: it is a
	// few hundred ms old when it comes, and a request ends there each 20 ms.
	reportLasts clock.Millis = 600
	// misplacedFor is how long an engine is avoided that did not hold what the
	// list says: the list's lag.
	misplacedFor clock.Millis = 1500
	// usualPace is up to which pace an engine counts as well, and paceLasts
	// after how long a slow one is asked again.
	usualPace              = 1.3
	paceLasts clock.Millis = 2000
	// tookWeight is the weight of a new reading in the mean time of answers.
	tookWeight = 0.2
	// failWeight is the weight of a new reading in the mean rate of failures,
	// and failTooMany the rate over which an upstream is avoided. Ordinary
	// upstreams fail up to about one request in seven.
	failWeight  = 0.2
	failTooMany = 0.55
	// firstTook stands in for the time of answers until one is known, in ms.
	firstTook = 30.0
	// tryFactor and tryShare bound the first attempt of a repeatable request:
	// so many times the mean, and at least that share of the aim.
	tryFactor = 4.0
	tryShare  = 0.6
	// leastLeft is the least time for which an attempt is worth sending.
	leastLeft clock.Millis = 20
	// answerShare is the part of the most tokens out that is expected where
	// the caller gives no hint.
	answerShare = 0.7
	// answerHeld is the part of an answer that memory is reserved for. An answer
	// takes memory as it grows; those at an engine are half written on average, and
	// the rest is for answers that grow beyond the callers' guesses.
	answerHeld = 0.6
)

// When to come back, by what was missing.
const (
	backSoon    clock.Millis = 300
	backStale   clock.Millis = 1000
	backHealing clock.Millis = 1500
)

package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

// Policy is what operators may set.
type Policy struct {
	// MaxConfigAge is how old the newest configuration may be for a request
	// with a key; zero for no bound.
	MaxConfigAge clock.Millis
	// RetryShare and RetrySlack are the whole system's budget of repeats: a
	// share of the first tries, and a number beyond it, in each RetryWindow.
	RetryWindow clock.Millis
	RetryShare  float64
	RetrySlack  float64
	// QuarantineDuration is for how long a request that ends upstreams is sent to none; zero
	// for the usual time.
	QuarantineDuration clock.Millis
}

// defaultQuarantine is for how long a request that ends upstreams is sent to none. Callers
// repeat within minutes; after an hour operators have had time to mend the upstreams, and
// three more of them find out if they have not.
const defaultQuarantine clock.Millis = 3_600_000

// quarantineDuration is for how long a request that ends upstreams is sent to none.
func (p Policy) quarantineDuration() clock.Millis {
	if p.QuarantineDuration == 0 {
		return defaultQuarantine
	}
	return p.QuarantineDuration
}

// Figures of the decisions, with where they come from.
const (
	// freshnessMargin is taken off MaxConfigAge: a decision and the write to the
	// socket lie between the check and the arrival. Ten times the worst pause
	// of a throttled node's loop.
	freshnessMargin clock.Millis = 700
	// maxAttempts bounds the sendings of one request, refused ones included, so
	// that a request does not walk through the whole fleet. A long stream may
	// outlive several engines while servers are replaced.
	maxAttempts = 8
	// minSuspicion is how long an upstream is avoided after a first failure;
	// it doubles with each further one, up to maxSuspicion.
	minSuspicion clock.Millis = 400
	maxSuspicion clock.Millis = 6000
	// maxProbePause bounds the pause between probes of an engine that answers none,
	// which doubles too: most have ended, and come back under other names. Sixty
	// nodes that probed nine lost engines each 0.4 s asked 22,000 times on a day,
	// each at the price of a health check.
	maxProbePause clock.Millis = 3200
	// probeAnswerWindow is for how long a suspect that has answered a probe may get work
	// where nobody else holds its layers.
	probeAnswerWindow clock.Millis = 2000
	// minFull is how long an engine that lacked room is avoided: the time in
	// which about one request ends there.
	minFull clock.Millis = 150
	// maxFull bounds that time, which doubles with each refusal in a row,
	// and refusalsToProbe is after how many of them the engine is probed.
	maxFull         clock.Millis = 3000
	refusalsToProbe int          = 2
	// sheddingWindow is for how long after a refusal an engine that refuses at random counts as
	// such, and roomy the part of its memory that it must have left: what is taken there in
	// the 0.2 s by which its word is late is less.
	sheddingWindow    clock.Millis = 2000
	sheddingFreeShare float64      = 0.5
	// maxSheddingRefusals is how many refusals in a row, without a stream that ended well, an engine
	// may shed: one that takes half has that many in a row once in 250.
	maxSheddingRefusals int = 8
	// reportWindow is for how long an engine's word on its memory counts: it is a
	// few hundred ms old when it comes, and a request ends there each 20 ms.
	reportWindow clock.Millis = 600
	// misdirectedPause is how long an engine is avoided that did not hold what the
	// list says: the list's lag.
	misdirectedPause clock.Millis = 1500
	// normalSlowdown is up to which pace an engine counts as well, and slowdownRecheck
	// after how long a slow one is asked again.
	normalSlowdown               = 1.3
	slowdownRecheck clock.Millis = 2000
	// latencyWeight is the weight of a new reading in the mean time of answers.
	latencyWeight = 0.2
	// failureWeight is the weight of a new reading in the mean rate of failures,
	// and maxFailureRate the rate over which an upstream is avoided. Ordinary
	// upstreams fail up to about one request in seven.
	failureWeight  = 0.2
	maxFailureRate = 0.55
	// initialLatency stands in for the time of answers until one is known, in ms.
	initialLatency = 30.0
	// attemptTimeoutFactor and attemptTimeoutAimShare bound the first attempt of a repeatable request:
	// so many times the mean, and at least that share of the aim.
	attemptTimeoutFactor   = 4.0
	attemptTimeoutAimShare = 0.6
	// minTimeLeft is the least time for which an attempt is worth sending.
	minTimeLeft clock.Millis = 20
	// expectedAnswerShare is the part of the most tokens out that is expected where
	// the caller gives no hint.
	expectedAnswerShare = 0.7
	// answerMemoryShare is the part of an answer that memory is reserved for. An answer
	// takes memory as it grows; those at an engine are half written on average, and
	// the rest is for answers that grow beyond the callers' guesses.
	answerMemoryShare = 0.6
)

// When to come back, by what was missing.
const (
	shortRetryAfter       clock.Millis = 300
	staleConfigRetryAfter clock.Millis = 1000
	coverageGapRetryAfter clock.Millis = 1500
)

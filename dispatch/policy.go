package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

// Policy holds the operator's settings.
type Policy struct {
	// MaxConfigAge bounds the age of the configuration for requests with a key; zero for no
	// bound.
	MaxConfigAge clock.Millis
	// RetryShare and RetrySlack bound the retries of all nodes together in each RetryWindow: to a
	// share of the first attempts plus a fixed number.
	RetryWindow clock.Millis
	RetryShare  float64
	RetrySlack  float64
	// QuarantineDuration is how long a request that crashes upstreams stays quarantined; zero for
	// the default.
	QuarantineDuration clock.Millis
	// SpreadCost is the mean of the random cost that nodes of a large data centre add to each
	// engine for each request, in ms per token; zero for none.
	SpreadCost float64
	// MaxWaiting bounds the requests that wait for capacity, and MaxWaitingBytes the size of their
	// bodies; zero lets none wait.
	MaxWaiting      int
	MaxWaitingBytes int
	// MaxForwarded bounds the requests of other nodes that this node serves at a time.
	MaxForwarded int
	// DisableAdmission turns off admission control by priority.
	DisableAdmission bool
	// AccountPriorities applies admission control also to services whose requests differ in priority
	// only by their client accounts. The part of the retry budget that is kept for urgent requests
	// follows the priorities of accounts in any case.
	AccountPriorities bool
	// DisableFairShares turns off fair shares among client accounts.
	DisableFairShares bool
}

// defaultQuarantine is how long a request that crashes upstreams stays quarantined by default.
// Clients retry within minutes. After an hour operators have had time to fix the upstreams; if
// they have not, another three of them crash.
const defaultQuarantine clock.Millis = 3_600_000

// quarantineDuration returns QuarantineDuration or its default.
func (p Policy) quarantineDuration() clock.Millis {
	if p.QuarantineDuration == 0 {
		return defaultQuarantine
	}
	return p.QuarantineDuration
}

// Parameters of the decisions.
const (
	// freshnessMargin is subtracted from MaxConfigAge, because a decision and the socket write
	// follow the check. It is ten times the longest pause of the event loop on a throttled node.
	freshnessMargin clock.Millis = 700
	// maxAttempts bounds the attempts of one request, including refused ones, so that a request
	// does not try the whole fleet. A long stream may outlive several engines during a rolling
	// replacement.
	maxAttempts = 8
	// maxUnsentAttempts bounds, for one request, the further attempts that could not be sent to
	// upstreams which never answered this node, and may not exist.
	maxUnsentAttempts = 64
	// minSuspicion is how long an upstream is avoided after its first failure. The time doubles
	// with each further failure, up to maxSuspicion.
	minSuspicion clock.Millis = 400
	maxSuspicion clock.Millis = 6000
	// maxProbePause bounds the pause between probes of an unresponsive engine, which doubles too.
	// Most such engines have crashed and restart under another incarnation. Sixty nodes that
	// probed nine crashed engines each 0.4 s sent 22,000 probes in a day, each at the cost of a
	// health check.
	maxProbePause clock.Millis = 3200
	// probeAnswerWindow is how long a suspected engine may get work after it answered a probe, if
	// no other engine holds its layers.
	probeAnswerWindow clock.Millis = 2000
	// minFull is how long an engine is avoided after its first refusal for lack of memory. In
	// that time about one request ends on an engine.
	minFull clock.Millis = 150
	// maxFull bounds the time for which an upstream counts as full, which doubles with each
	// consecutive refusal. refusalsToProbe is the number of consecutive refusals after which an
	// engine is probed.
	maxFull         clock.Millis = 3000
	refusalsToProbe int          = 2
	// sheddingWindow is how long after a refusal an engine that refuses requests at random counts
	// as shedding load. sheddingFreeShare is the share of its memory that must be free for that:
	// requests use less than that within the 0.2 s by which its report lags.
	sheddingWindow    clock.Millis = 2000
	sheddingFreeShare float64      = 0.5
	// maxSheddingRefusals bounds the consecutive refusals of an engine that sheds load. An engine
	// that accepts half of its requests refuses that many in a row once in 250.
	maxSheddingRefusals int = 8
	// reportWindow is how long an engine's memory report is used. A report is a few hundred ms
	// old when it arrives, and a request ends on an engine each 20 ms.
	reportWindow clock.Millis = 600
	// misdirectedPause is how long an engine is avoided after it did not hold the layers that the
	// list shows. It covers the lag of the list.
	misdirectedPause clock.Millis = 1500
	// normalSlowdown is the slowdown up to which an engine counts as normal. slowdownRecheck is
	// the pause before a slow engine is probed again.
	normalSlowdown               = 1.3
	slowdownRecheck clock.Millis = 2000
	// latencyWeight is the weight of a new sample in the moving average of latencies.
	latencyWeight = 0.2
	// failureWeight is the weight of a new sample in the moving average of the failure rate. An
	// upstream is avoided above maxFailureRate. Healthy upstreams fail up to about one request in
	// seven.
	failureWeight  = 0.2
	maxFailureRate = 0.55
	// initialLatency is the assumed latency of an upstream before its first answer, in ms.
	initialLatency = 30.0
	// attemptTimeoutFactor and attemptTimeoutAimShare set the timeout of an attempt of a
	// repeatable request: a multiple of the mean latency, and at least a share of the route's
	// latency objective. At an upstream that has never answered this node it is at least
	// unknownLatencyShare of the time left, which leaves more for the next attempt.
	attemptTimeoutFactor   = 4.0
	attemptTimeoutAimShare = 0.6
	unknownLatencyShare    = 0.4
	// minTimeLeft is the least remaining time for which another attempt is sent.
	minTimeLeft clock.Millis = 20
	// expectedAnswerShare is the share of the maximum answer length that is expected if the
	// client sends no hint.
	expectedAnswerShare = 0.7
	// answerMemoryShare is the share of an answer for which memory is reserved. Memory use grows
	// with the answer, so the answers on an engine are half written on average; the rest covers
	// answers that exceed the clients' hints.
	answerMemoryShare = 0.6
)

// Retry-After times by cause.
const (
	shortRetryAfter       clock.Millis = 300
	staleConfigRetryAfter clock.Millis = 1000
	coverageGapRetryAfter clock.Millis = 1500
)

package dispatch

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// upstream is the state that the node keeps for one upstream besides its entry.
type upstream struct {
	entry fleet.Upstream
	// service is the configuration of the upstream's service, nil if there is none, and pipeline its pipeline,
	// nil for plain services.
	service  *catalog.Service
	pipeline *catalog.Pipeline
	// engine is the zero value for plain services, and if the entry does not fit the service. unfit reports the
	// latter.
	engine fleet.Engine
	unfit  bool
	// layerTime is the time of one token through one layer, and readTime the time to read one
	// prompt token through it, in ms. memory is the memory for requests, in tokens times layers.
	layerTime float64
	readTime  float64
	memory    float64

	// inFlight counts this node's attempts that begin on the upstream. reserved is the memory
	// that this node's requests reserve on it, in tokens times layers. promptTokens counts the
	// prompt tokens of this node's attempts through it that have no event yet.
	inFlight     int
	reserved     float64
	promptTokens float64
	// peerUse is the usage that other nodes reported.
	peerUse fleet.EngineUsage
	// meanLatency is the moving average of the upstream's latency in ms, and failureRate that of
	// its failures.
	meanLatency float64
	failureRate float64

	// recoveryPlace is this node's assumed place among the nodes that move streams to the engine at
	// the same time: from 0 up to 1, fixed for the node and the engine.
	recoveryPlace float64
	// probeCandidates is the model's set of upstreams that may need a probe.
	probeCandidates probeSet
	// sharesAddress reports whether another upstream is listed with the same address, so that one
	// of the two has ended.
	sharesAddress bool
	// crashed reports whether the upstream's process is known to have ended.
	crashed bool
	// layersReportedAt is when another node last reported the layers that the engine holds.
	layersReportedAt clock.Millis
	// loading is the order to hold layers that the engine has not completed.
	loading loadOrder
	// slowdown is the ratio of the engine's token time to the normal value, as of slowdownAt.
	slowdown   float64
	slowdownAt clock.Millis
	// slowdownMeasured reports whether this node measured the slowdown itself.
	slowdownMeasured bool

	// reportedFree is the free memory that the engine reported at reportedAt, and reportedQueued
	// the number of requests that waited for a slot. reservedAtReport is the value of reserved at
	// that time.
	reportedFree     float64
	reportedQueued   int
	reportedAt       clock.Millis
	reservedAtReport float64
	// reportWanted reports whether the engine's report is requested at the next tick.
	reportWanted bool
	// avoidedForNoEventUntil is the end of the time for which the engine is avoided because of an attempt
	// without a first event.
	avoidedForNoEventUntil clock.Millis
	// reachProbeWanted reports whether the upstream is probed at the next tick to find out about this
	// node's links to its data centre, and reachProbeOnly whether the probe in flight has no other
	// purpose.
	reachProbeWanted bool
	reachProbeOnly   bool
	// suspected upstreams get no work until a probe succeeds.
	suspected     bool
	probeInFlight bool
	// earlyProbeWanted reports whether a suspected upstream is probed before avoidUntil.
	earlyProbeWanted bool
	// crashCheckWanted reports whether the next probe checks for a crash, and crashCheckOnly
	// whether the probe in flight has no other purpose.
	crashCheckWanted bool
	crashCheckOnly   bool
	// identifying reports whether the upstream's identity has been requested.
	// failedIdentifications counts the answers without an identity, and identifyAfter is when the
	// next such request may be sent.
	identifying           bool
	failedIdentifications int
	identifyAfter         clock.Millis
	// suspectedByPeer reports whether the suspicion rests on the report of another node alone.
	suspectedByPeer bool
	// suspicionCause is the cause of the last suspicion. probeAnsweredAt is when the upstream
	// last answered a probe.
	suspicionCause  Cause
	probeAnsweredAt clock.Millis
	// unresponsive reports whether the upstream left a probe unanswered while it was suspected;
	// the placement planner is notified. peerReportedAt is when another node last reported it as
	// unresponsive.
	unresponsive   bool
	peerReportedAt clock.Millis
	// peerLostAt is when another node last reported that it lost a request at the upstream.
	peerLostAt clock.Millis
	// answersPeersAt is when another node last reported that the engine answers it.
	answersPeersAt clock.Millis
	// unansweredProbes counts consecutive unanswered probes, and failures consecutive failed
	// attempts. A suspected upstream is not probed before avoidUntil.
	unansweredProbes int
	failures         int
	avoidUntil       clock.Millis
	// refusals counts consecutive refusals, the last one at refusedAt. The upstream counts as
	// full until fullUntil.
	refusals  int
	fullUntil clock.Millis
	refusedAt clock.Millis
	// backOffUntil is the end of the back-off that the upstream requested.
	backOffUntil clock.Millis
	// refusedAsFirst reports whether the last refusal came from this engine as the first one of a
	// chain. Later engines of a chain also refuse layers that they are about to drop.
	refusedAsFirst bool
	// shedsLoad reports whether the engine refuses requests although its report shows free
	// capacity, so that it may accept the next request.
	shedsLoad bool
}

func newUpstream(entry fleet.Upstream) *upstream {
	return &upstream{entry: entry, meanLatency: initialLatency, slowdown: 1, reportedAt: clock.Never, probeAnsweredAt: clock.Never, peerReportedAt: clock.Never, answersPeersAt: clock.Never, peerLostAt: clock.Never}
}

// update applies a new entry. Reported layers override an entry without layers that may be older. A change
// of the layers ends the time for which the engine counts as full.
func (u *upstream) update(now clock.Millis, entry fleet.Upstream) {
	if entry.Held.Empty() && u.layersReportedAt > 0 && now < u.layersReportedAt.Add(fleet.LayersShownWithin) {
		entry.Held = u.entry.Held
	}
	if entry.Held != u.entry.Held {
		u.fullUntil = 0
	}
	u.entry = entry
}

// applyService derives an engine's layer time and memory from the configuration of its service.
func (u *upstream) applyService(s *catalog.Service) {
	u.service, u.pipeline, u.memory, u.layerTime, u.readTime = s, nil, 0, 0, 0
	if s != nil {
		u.pipeline = s.Pipeline
	}
	u.checkFit()
	if u.pipeline == nil || u.unfit {
		return
	}
	accelerator := u.engine.Accelerator()
	u.layerTime = s.Pipeline.StepTime(accelerator, 1)
	u.readTime = s.Pipeline.ReadTime(accelerator, 1)
	u.memory = s.Pipeline.RequestMemory(accelerator, u.held().Len())
}

// checkFit derives the engine from the entry and the service.
func (u *upstream) checkFit() {
	u.engine, u.unfit = fleet.Engine{}, false
	if u.pipeline == nil {
		return
	}
	engine, err := fleet.EngineOf(u.service, u.entry)
	u.engine, u.unfit = engine, err != nil
}

// held returns the layers that the engine holds.
func (u *upstream) held() fleet.LayerRange { return u.engine.Held() }

// setHeld records layers that the engine holds before its entry shows them.
func (u *upstream) setHeld(layers fleet.LayerRange) {
	u.entry.Held = layers
	u.checkFit()
}

// ownUse returns the usage of the upstream by this node's requests.
func (u *upstream) ownUse() fleet.EngineUsage {
	return fleet.EngineUsage{Memory: u.reserved, Streams: u.inFlight, PromptTokens: u.promptTokens}
}

// streams estimates the number of streams that use some memory of an engine.
func (u *upstream) streams(usedMemory float64) float64 {
	layers := u.held().Len()
	if layers == 0 || usedMemory <= 0 {
		return 0
	}
	prompt, answer := u.pipeline.MeanTokens()
	return usedMemory / (prompt + answerMemoryShare*answer) / float64(layers)
}

// hasRecentReport reports whether the engine's last report of its memory and queue still counts.
func (u *upstream) hasRecentReport(now clock.Millis) bool {
	return now <= u.reportedAt.Add(reportWindow)
}

// available reports whether the upstream may get new work.
func (u *upstream) available(now clock.Millis) bool { return u.healthy() && !u.full(now) }

// healthy reports whether the upstream accepts work and is not suspected. It may still be full.
func (u *upstream) healthy() bool { return u.acceptsWork() && !u.suspected }

// acceptsWork reports whether the upstream's entry and its service allow new work.
func (u *upstream) acceptsWork() bool { return !u.entry.Leaving && !u.entry.Withheld && !u.unfit }

// full reports whether the upstream has refused work recently for lack of capacity.
func (u *upstream) full(now clock.Millis) bool { return now < u.fullUntil }

// recordSuspicion records a failure that makes the upstream suspected, and returns the time until
// which it is avoided.
func (u *upstream) recordSuspicion(now clock.Millis) clock.Millis {
	wait := min(minSuspicion<<min(u.failures, 8), maxSuspicion)
	u.failures++
	u.suspected, u.suspectedByPeer = true, false
	u.addProbeCandidate()
	u.avoidUntil = now.Add(wait)
	return u.avoidUntil
}

// recordRefusal records a refusal for lack of capacity. The next tick requests an engine's
// report, since its memory may be used by nodes that this node does not know. An engine that
// continues to refuse is leaving or has crashed: it is avoided for longer and longer, and probed.
func (u *upstream) recordRefusal(now clock.Millis) {
	u.addProbeCandidate()
	if u.pipeline == nil {
		u.recordSlotRefusal(now)
		return
	}
	if u.sheddingLoad(now) && u.refusals < maxSheddingRefusals {
		u.refusals++
		u.refusedAt = now
		u.reportWanted = now > u.reportedAt.Add(reportWindow)
		return
	}
	u.shedsLoad = false
	u.fullUntil = now.Add(min(minFull<<min(u.refusals, 8), maxFull))
	u.refusals++
	u.refusedAt = now
	u.reportWanted = u.pipeline != nil
	if u.refusals == refusalsToProbe && !u.suspected {
		u.suspected = true
		u.avoidUntil = now
	}
}

// sheddingLoad reports whether the engine has recently refused requests although it had free
// capacity.
func (u *upstream) sheddingLoad(now clock.Millis) bool {
	return u.shedsLoad && now <= u.refusedAt.Add(sheddingWindow)
}

// explainRefusal compares an engine's report with its last refusal. An engine with free memory
// and an empty queue is not full but refuses requests at random. Avoiding it would also lose the
// requests that it would accept.
func (u *upstream) explainRefusal(now clock.Millis, report Report) {
	if now > u.refusedAt.Add(sheddingWindow) || !u.refusedAsFirst || u.refusals >= maxSheddingRefusals {
		return
	}
	taken := float64(u.inFlight + u.peerUse.Streams)
	u.shedsLoad = report.Queued == 0 && report.FreeMemory >= sheddingFreeShare*report.TotalMemory && taken <= chargedSlotShare*float64(u.entry.Slots)
	if u.shedsLoad {
		u.fullUntil = 0
	}
}

// recordMisdirected records that an engine answered that it is another incarnation or does not
// hold the layers that the list shows. The listed incarnation is probed, so that a crashed one
// becomes unresponsive and other nodes are notified.
func (u *upstream) recordMisdirected(now clock.Millis) {
	u.fullUntil = now.Add(misdirectedPause)
	if !u.suspected {
		u.suspected, u.suspicionCause, u.avoidUntil = true, CauseMisdirected, now
		u.addProbeCandidate()
	}
}

// probeDue reports whether the upstream must be probed now.
func (u *upstream) probeDue(now clock.Millis) bool {
	switch {
	case u.probeInFlight:
		return false
	case u.reachProbeWanted:
		return true
	case u.suspected:
		return u.earlyProbeWanted || u.crashCheckWanted || now >= u.avoidUntil
	case u.inBackOff(now):
		return false
	default:
		return u.reportWanted || u.slowdown > normalSlowdown && now >= u.slowdownAt.Add(slowdownRecheck)
	}
}

// recordAnswer updates the latency and failure rate with an attempt. A successful answer ends a
// suspicion.
func (u *upstream) recordAnswer(latency clock.Millis, failed bool) {
	u.meanLatency += latencyWeight * (float64(latency) - u.meanLatency)
	rate := 0.0
	if failed {
		rate = 1
	}
	u.failureRate += failureWeight * (rate - u.failureRate)
	if !failed {
		u.failures = 0
		u.suspected = false
	}
}

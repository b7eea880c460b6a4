package dispatch

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// upstream is what the node believes of one upstream beside its entry.
type upstream struct {
	entry    fleet.Upstream
	pipeline *catalog.Pipeline
	// layerTime is the time of a token through one layer, in ms, and room the
	// memory for requests, in tokens times layers.
	layerTime float64
	memory    float64

	// inFlight counts this node's attempts that have it as the first, and
	// reserved the memory that this node's requests take there.
	inFlight int
	reserved float64
	// peerUse is what other nodes have told that their requests take.
	peerUse fleet.EngineUsage
	// meanLatency is the mean time of its answers in ms, and failing the mean rate of
	// its failures.
	meanLatency float64
	failureRate float64

	// preference sets this node's choice among engines that are equally good apart from other
	// nodes': from 0 up to 1.
	preference float64
	// probeCandidates is where it stands while something is to be asked of it.
	probeCandidates probeSet
	// sharesAddress tells that another upstream is listed at its address: one of the two is not
	// there.
	sharesAddress bool
	// crashed tells that its process has ended for certain.
	crashed bool
	// layersReportedAt is when another node told what it holds.
	layersReportedAt clock.Millis
	// slowdown is how many times slower than usual an engine was at slowdownAt.
	slowdown   float64
	slowdownAt clock.Millis

	// reportedFree is the memory that an engine had left by its own word at
	// reportedAt, when reservedAtReport was reserved.
	reportedFree     float64
	reportedAt       clock.Millis
	reservedAtReport float64
	// reportWanted tells that an engine is to be asked how much memory it has.
	reportWanted bool
	// suspected upstreams get no work until a probe has found them well.
	suspected     bool
	probeInFlight bool
	// earlyProbeWanted tells that a suspect is to be probed before its time.
	earlyProbeWanted bool
	// crashCheckWanted tells that it is to be asked whether it has ended, and crashCheckOnly that the
	// probe under way is for nothing else.
	crashCheckWanted bool
	crashCheckOnly   bool
	// identifying tells that it is being asked who it is, failedIdentifications how often it has not said,
	// and identifyAfter is when it may be asked again.
	identifying           bool
	failedIdentifications int
	identifyAfter         clock.Millis
	// suspicionCause is that of the last failure that speaks against it, and probeAnsweredAt is
	// when it answered a probe last.
	suspicionCause  Cause
	probeAnsweredAt clock.Millis
	// unresponsive tells that the planner was told of its silence, and peerReportedAt is when another
	// node told this one of it.
	unresponsive   bool
	peerReportedAt clock.Millis
	// unansweredProbes counts the probes in a row that it has not answered.
	unansweredProbes int
	failures         int
	avoidUntil       clock.Millis
	// refusals counts refusals in a row, and fullUntil is until when it is taken as full.
	refusals  int
	fullUntil clock.Millis
	refusedAt clock.Millis
	// backOffUntil is until when it wants nothing from this node.
	backOffUntil clock.Millis
	// refusedAsFirst tells that it was the first of its chain that refused last: the others
	// also refuse what they are about to give up.
	refusedAsFirst bool
	// shedsLoad tells that it refuses although, by its own word, it has room: the next request
	// may be taken.
	shedsLoad bool
}

func newUpstream(entry fleet.Upstream) *upstream {
	return &upstream{entry: entry, meanLatency: initialLatency, slowdown: 1, reportedAt: clock.Never, probeAnsweredAt: clock.Never, peerReportedAt: clock.Never}
}

// layersReportWindow is for how long word of what an engine holds counts more than an
// entry without layers: the list's lag and a heartbeat.
const layersReportWindow clock.Millis = 3000

// update takes a new entry. An engine that holds other layers than before is
// no longer doubted for what it did not hold.
func (u *upstream) update(now clock.Millis, entry fleet.Upstream) {
	if entry.Held.Empty() && u.layersReportedAt > 0 && now < u.layersReportedAt.Add(layersReportWindow) {
		entry.Held = u.entry.Held
	}
	if entry.Held != u.entry.Held {
		u.fullUntil = 0
	}
	u.entry = entry
}

// applyService works out an engine's pace and memory.
func (u *upstream) applyService(s *catalog.Service) {
	u.pipeline, u.memory, u.layerTime = nil, 0, 0
	if s == nil || s.Pipeline == nil {
		return
	}
	u.pipeline = s.Pipeline
	kind, ok := s.Pipeline.Accelerators[u.entry.Accelerator]
	if !ok {
		return
	}
	u.layerTime = s.Pipeline.StepTime(kind, 1)
	u.memory = s.Pipeline.RequestMemory(kind, u.entry.Held.Len())
}

// available tells whether it may get new work.
func (u *upstream) available(now clock.Millis) bool { return u.healthy() && !u.full(now) }

// healthy tells whether nothing speaks against the upstream but a lack of room.
func (u *upstream) healthy() bool { return u.acceptsWork() && !u.suspected }

// acceptsWork tells whether the list speaks for giving the upstream new work.
func (u *upstream) acceptsWork() bool { return !u.entry.Leaving && !u.entry.Withheld }

// full tells whether it has refused work for want of room just now.
func (u *upstream) full(now clock.Millis) bool { return now < u.fullUntil }

// recordSuspicion notes a failure that speaks against the upstream.
func (u *upstream) recordSuspicion(now clock.Millis) clock.Millis {
	wait := min(minSuspicion<<min(u.failures, 8), maxSuspicion)
	u.failures++
	u.suspected = true
	u.addProbeCandidate()
	u.avoidUntil = now.Add(wait)
	return u.avoidUntil
}

// recordRefusal notes a refusal for want of room. The next tick asks an engine for its
// report, since others may use it of whom this node does not know. One that goes
// on refusing is leaving or dead: it is used less and less, and probed.
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

// sheddingLoad tells whether it has refused lately although it had room.
func (u *upstream) sheddingLoad(now clock.Millis) bool {
	return u.shedsLoad && now <= u.refusedAt.Add(sheddingWindow)
}

// explainRefusal takes in an engine's word on its room after it has refused a request. One that
// has room and nobody waiting is not full, and sends some away at random: avoiding it would
// refuse all that it would have taken.
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

// recordMisdirected notes that an engine says that it is not the one meant, or does not hold
// what the list says. It is probed as the incarnation that the list names, so that one
// that has ended is found silent and others are told.
func (u *upstream) recordMisdirected(now clock.Millis) {
	u.fullUntil = now.Add(misdirectedPause)
	if !u.suspected {
		u.suspected, u.suspicionCause, u.avoidUntil = true, CauseMisdirected, now
		u.addProbeCandidate()
	}
}

// probeDue tells whether it is time to ask the upstream how it is.
func (u *upstream) probeDue(now clock.Millis) bool {
	switch {
	case u.probeInFlight:
		return false
	case u.suspected:
		return u.earlyProbeWanted || u.crashCheckWanted || now >= u.avoidUntil
	case u.inBackOff(now):
		return false
	default:
		return u.reportWanted || u.slowdown > normalSlowdown && now >= u.slowdownAt.Add(slowdownRecheck)
	}
}

// recordAnswer takes in how an answer went. A good one ends a suspicion.
func (u *upstream) recordAnswer(took clock.Millis, failed bool) {
	u.meanLatency += latencyWeight * (float64(took) - u.meanLatency)
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

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
	room      float64

	// inFlight counts this node's attempts that have it as the first, and
	// reserved the memory that this node's requests take there.
	inFlight int
	reserved float64
	// others is what other nodes have told that their requests take.
	others fleet.EngineUsage
	// took is the mean time of its answers in ms, and failing the mean rate of
	// its failures.
	took    float64
	failing float64

	// distance sets this node's choice among engines that are equally good apart from other
	// nodes': from 0 up to 1.
	distance float64
	// watch is where it stands while something is to be asked of it.
	watch watch
	// rivals tells that another upstream is listed at its address: one of the two is not
	// there.
	rivals bool
	// ended tells that its process has ended for certain.
	ended bool
	// heldAt is when another node told what it holds.
	heldAt clock.Millis
	// pace is how many times slower than usual an engine was at paceAt.
	pace   float64
	paceAt clock.Millis

	// reportedFree is the memory that an engine had left by its own word at
	// reportedAt, when reservedThen was reserved.
	reportedFree float64
	reportedAt   clock.Millis
	reservedThen float64
	// wantsReport tells that an engine is to be asked how much memory it has.
	wantsReport bool
	// suspect upstreams get no work until a probe has found them well.
	suspect bool
	probing bool
	// wantsProbe tells that a suspect is to be probed before its time.
	wantsProbe bool
	// wantsFate tells that it is to be asked whether it has ended, and asksFate that the
	// probe under way is for nothing else.
	wantsFate bool
	asksFate  bool
	// naming tells that it is being asked who it is, namesLost how often it has not said,
	// and nameAgain is when it may be asked again.
	naming    bool
	namesLost int
	nameAgain clock.Millis
	// cause is that of the last failure that speaks against it, and answeredAt is
	// when it answered a probe last.
	cause      Cause
	answeredAt clock.Millis
	// silent tells that the planner was told of its silence, and toldAt is when another
	// node told this one of it.
	silent bool
	toldAt clock.Millis
	// probesLost counts the probes in a row that it has not answered.
	probesLost int
	strikes    int
	avoidUntil clock.Millis
	// refusals counts refusals in a row, and fullUntil is until when it is taken as full.
	refusals  int
	fullUntil clock.Millis
	refusedAt clock.Millis
	// restUntil is until when it wants nothing from this node.
	restUntil clock.Millis
	// refusedItself tells that it was the first of its chain that refused last: the others
	// also refuse what they are about to give up.
	refusedItself bool
	// sheds tells that it refuses although, by its own word, it has room: the next request
	// may be taken.
	sheds bool
}

func newUpstream(entry fleet.Upstream) *upstream {
	return &upstream{entry: entry, took: firstTook, pace: 1, reportedAt: clock.Never, answeredAt: clock.Never, toldAt: clock.Never}
}

// heldLasts is for how long word of what an engine holds counts more than an
// entry without layers: the list's lag and a heartbeat.
const heldLasts clock.Millis = 3000

// update takes a new entry. An engine that holds other layers than before is
// no longer doubted for what it did not hold.
func (u *upstream) update(now clock.Millis, entry fleet.Upstream) {
	if entry.Held.Empty() && u.heldAt > 0 && now < u.heldAt.Add(heldLasts) {
		entry.Held = u.entry.Held
	}
	if entry.Held != u.entry.Held {
		u.fullUntil = 0
	}
	u.entry = entry
}

// measure works out an engine's pace and memory.
func (u *upstream) measure(s *catalog.Service) {
	u.pipeline, u.room, u.layerTime = nil, 0, 0
	if s == nil || s.Pipeline == nil {
		return
	}
	u.pipeline = s.Pipeline
	kind, ok := s.Pipeline.Accelerators[u.entry.Accelerator]
	if !ok {
		return
	}
	u.layerTime = s.Pipeline.StepTime(kind, 1)
	u.room = s.Pipeline.RequestMemory(kind, u.entry.Held.Len())
}

// open tells whether it may get new work.
func (u *upstream) open(now clock.Millis) bool { return u.well() && !u.full(now) }

// well tells whether nothing speaks against the upstream but a lack of room.
func (u *upstream) well() bool { return u.usable() && !u.suspect }

// usable tells whether the list speaks for giving the upstream new work.
func (u *upstream) usable() bool { return !u.entry.Leaving && !u.entry.Withheld }

// full tells whether it has refused work for want of room just now.
func (u *upstream) full(now clock.Millis) bool { return now < u.fullUntil }

// strike notes a failure that speaks against the upstream.
func (u *upstream) strike(now clock.Millis) clock.Millis {
	wait := min(firstSuspicion<<min(u.strikes, 8), longestSuspicion)
	u.strikes++
	u.suspect = true
	u.attend()
	u.avoidUntil = now.Add(wait)
	return u.avoidUntil
}

// refused notes a refusal for want of room. The next tick asks an engine for its
// report, since others may use it of whom this node does not know. One that goes
// on refusing is leaving or dead: it is used less and less, and probed.
func (u *upstream) refused(now clock.Millis) {
	u.attend()
	if u.pipeline == nil {
		u.refusedPlace(now)
		return
	}
	if u.shedding(now) && u.refusals < mostShed {
		u.refusals++
		u.refusedAt = now
		u.wantsReport = now > u.reportedAt.Add(reportLasts)
		return
	}
	u.sheds = false
	u.fullUntil = now.Add(min(fullFor<<min(u.refusals, 8), longestFull))
	u.refusals++
	u.refusedAt = now
	u.wantsReport = u.pipeline != nil
	if u.refusals == refusalsToProbe && !u.suspect {
		u.suspect = true
		u.avoidUntil = now
	}
}

// shedding tells whether it has refused lately although it had room.
func (u *upstream) shedding(now clock.Millis) bool {
	return u.sheds && now <= u.refusedAt.Add(shedsFor)
}

// explain takes in an engine's word on its room after it has refused a request. One that
// has room and nobody waiting is not full, and sends some away at random: avoiding it would
// refuse all that it would have taken.
func (u *upstream) explain(now clock.Millis, report Report) {
	if now > u.refusedAt.Add(shedsFor) || !u.refusedItself || u.refusals >= mostShed {
		return
	}
	taken := float64(u.inFlight + u.others.Streams)
	u.sheds = report.Queued == 0 && report.Free >= roomy*report.All && taken <= slotsNoted*float64(u.entry.Slots)
	if u.sheds {
		u.fullUntil = 0
	}
}

// misplaced notes that an engine says that it is not the one meant, or does not hold
// what the list says. It is probed as the incarnation that the list names, so that one
// that has ended is found silent and others are told.
func (u *upstream) misplaced(now clock.Millis) {
	u.fullUntil = now.Add(misplacedFor)
	if !u.suspect {
		u.suspect, u.cause, u.avoidUntil = true, NotRunElsewhere, now
		u.attend()
	}
}

// needsProbe tells whether it is time to ask the upstream how it is.
func (u *upstream) needsProbe(now clock.Millis) bool {
	switch {
	case u.probing:
		return false
	case u.suspect:
		return u.wantsProbe || u.wantsFate || now >= u.avoidUntil
	case u.resting(now):
		return false
	default:
		return u.wantsReport || u.pace > usualPace && now >= u.paceAt.Add(paceLasts)
	}
}

// record takes in how an answer went. A good one ends a suspicion.
func (u *upstream) record(took clock.Millis, failed bool) {
	u.took += tookWeight * (float64(took) - u.took)
	rate := 0.0
	if failed {
		rate = 1
	}
	u.failing += failWeight * (rate - u.failing)
	if !failed {
		u.strikes = 0
		u.suspect = false
	}
}

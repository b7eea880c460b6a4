package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// scheduleFault schedules a fault and its repetitions.
func (w *world) scheduleFault(f Fault) {
	for _, at := range f.StartTimes() {
		w.after(max(at-w.now, 0), func() { w.startFault(f) })
	}
}

// startFault starts a fault and schedules its end.
func (w *world) startFault(f Fault) {
	switch f.Kind {
	case EngineCrash:
		for _, e := range w.drawEngines(f.Share) {
			e.crash(f.Duration)
		}
	case EngineSlow:
		w.affectEngines(f, func(e *engine) { e.slowdown = max(f.Magnitude, 1) }, func(e *engine) { e.slowdown = 1 })
	case EngineRefuse:
		w.affectEngines(f, func(e *engine) { e.refusalShare = f.Magnitude }, func(e *engine) { e.refusalShare = 0 })
	case EngineBackOff:
		w.affectEngines(f, func(e *engine) { e.refusalShare, e.backOff = 1, fromSeconds(f.Magnitude) }, func(e *engine) { e.refusalShare, e.backOff = 0, 0 })
	case EngineLimit:
		w.affectEngines(f, func(e *engine) { e.setLimit(f.drawMagnitude(w.faultRand)) }, func(e *engine) { e.setLimit(0) })
	case CrashingRequest:
		w.startCrashFault(w.crashFault, f)
	case CrashingPart:
		w.startCrashFault(w.partFault, f)
	case LoadBurst:
		w.loadFactor = f.Magnitude
		w.after(f.Duration, func() {
			if w.loadFactor > 0 {
				w.loadFactor = 1
			}
		})
	case NodeKill:
		for _, i := range w.faultRand.Perm(len(w.nodes))[:shareCount(f.Share, len(w.nodes))] {
			n := w.nodes[i]
			if n.running {
				n.kill()
				w.after(f.Duration, n.start)
			}
		}
	case NodeCut:
		w.cutNodes(f)
	case NodeFavoured:
		w.favourNode(f)
	case ListFrozen:
		w.list.frozen = true
		w.after(f.Duration, func() { w.list.frozen = false })
	case NodeFreeze, NodeRollingRestart, StoreSlow, PlainServiceFull:
		// Only rehearsals support these.
	}
}

// affectEngines applies a fault to some engines, and undoes it after its duration.
func (w *world) affectEngines(f Fault, apply, undo func(*engine)) {
	for _, e := range w.drawEngines(f.Share) {
		apply(e)
		w.after(f.Duration, func() { undo(e) })
	}
}

// drawEngines draws a share of the running engines at random.
func (w *world) drawEngines(share float64) []*engine {
	var running []*engine
	for _, e := range w.engines {
		if e.running {
			running = append(running, e)
		}
	}
	w.faultRand.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	return running[:shareCount(share, len(running))]
}

// shareCount returns a share of a number of things, rounded, and at least one unless there are
// none.
func shareCount(share float64, total int) int {
	return min(max(int(share*float64(total)+0.5), 1), total)
}

// requestBackOff requests a back-off from a node while the EngineBackOff fault is active.
func (e *engine) requestBackOff(n *node) {
	if e.backOff <= 0 {
		return
	}
	w := e.world
	if r := e.backOffs[n]; w.now.Add(e.backOff) > r.until || r.boot != n.boot {
		e.backOffs[n] = backOffRequest{boot: n.boot, from: w.now.Add(backOffGrace), until: w.now.Add(e.backOff)}
	}
	if !w.variant.NoBackOff {
		id, backOff := e.id, e.backOff
		w.after(networkDelay, func() { n.update(dispatch.BackOffMsg{Upstream: id, For: backOff}) })
	}
}

// backOffGrace is how long after a back-off request the node's requests may still arrive, as the
// node may have sent them before it received the request.
const backOffGrace clock.Millis = 500

// maxDuringBackOff is how many requests of a node may arrive after backOffGrace.
const maxDuringBackOff = 2

// checkBackOff counts a node's request that reaches an engine during its back-off.
func (e *engine) checkBackOff(n *node) {
	r, requested := e.backOffs[n]
	if !requested || r.boot != n.boot || e.world.now <= r.from || e.world.now >= r.until {
		return
	}
	e.world.result.ArrivalsInBackOff++
	r.arrivals++
	e.backOffs[n] = r
	if r.arrivals == maxDuringBackOff+1 {
		e.world.result.violate("rest", "more than two requests of a node during a back-off")
	}
}

package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/work"
)

// scheduleFault plans a trouble, once or again and again.
func (w *world) scheduleFault(f Fault) {
	for _, at := range f.StartTimes() {
		w.after(max(at-w.now, 0), func() { w.startFault(f) })
	}
}

// startFault has a trouble begin, and end after its time.
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
		w.crashFault.share, w.crashFault.downtime = f.Magnitude, 3200
		w.after(f.Duration, func() { w.crashFault.share = 0 })
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
	case ListFrozen:
		w.list.frozen = true
		w.after(f.Duration, func() { w.list.frozen = false })
	case NodeFreeze, NodeRollingRestart, StoreSlow, PlainServiceFull:
		// Only rehearsals play these.
	}
}

// affectEngines does something to some engines, and undoes it.
func (w *world) affectEngines(f Fault, do, undo func(*engine)) {
	for _, e := range w.drawEngines(f.Share) {
		do(e)
		w.after(f.Duration, func() { undo(e) })
	}
}

// drawEngines draws a part of the engines that run.
func (w *world) drawEngines(share float64) []*engine {
	var up []*engine
	for _, e := range w.engines {
		if e.running {
			up = append(up, e)
		}
	}
	w.faultRand.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:shareCount(share, len(up))]
}

// shareCount is a part of a number of things: one at least, unless there are none.
func shareCount(share float64, of int) int { return min(max(int(share*float64(of)+0.5), 1), of) }

// crashFault is the request that ends engines.
type crashFault struct {
	share float64
	// downtime is how long an engine is away that it has ended.
	downtime clock.Millis
	// crashes are the times at which it has ended one, and late how often it was sent later than
	// 3 s after the third.
	crashes      []clock.Millis
	lateAttempts int
}

// crashingWork names what the deadly request asks for.
var crashingWork = work.ID{}.ForAccount("deadly")

const (
	// maxCrashes is how many engines a request may end before it is to be sent to none, crashNewsDelay
	// how long after that nodes may need to know, and maxLateAttempts how often it may be sent then.
	maxCrashes                   = 3
	crashNewsDelay  clock.Millis = 3000
	maxLateAttempts              = 3
)

// scheduleCrash has an attempt of the deadly request end its first engine.
func (w *world) scheduleCrash(a *attempt, in clock.Millis) {
	if n := len(w.crashFault.crashes); n >= maxCrashes && w.now > w.crashFault.crashes[maxCrashes-1].Add(crashNewsDelay) {
		w.crashFault.lateAttempts++
	}
	w.after(in, func() {
		e := a.hops
		if a.finished || len(e) == 0 || !e[0].engine.running {
			return
		}
		w.crashFault.crashes = append(w.crashFault.crashes, w.now)
		e[0].engine.crash(w.crashFault.downtime)
	})
}

// requestBackOff has an engine ask a node for rest.
func (e *engine) requestBackOff(n *node) {
	if e.backOff <= 0 {
		return
	}
	w := e.world
	if r := e.backOffs[n]; w.now.Add(e.backOff) > r.until || r.boot != n.boot {
		e.backOffs[n] = backOffRequest{boot: n.boot, from: w.now.Add(backOffGrace), until: w.now.Add(e.backOff)}
	}
	if !w.variant.NoBackOff {
		id, asks := e.id, e.backOff
		w.after(networkDelay, func() { n.update(dispatch.BackOffMsg{Upstream: id, For: asks}) })
	}
}

// backOffGrace is how long after a rest was asked for requests may still come that were on their
// way.
const backOffGrace clock.Millis = 500

// maxDuringBackOff is how many may come in the rest of it.
const maxDuringBackOff = 2

// checkBackOff counts a request of a node that reaches an engine in a rest.
func (e *engine) checkBackOff(n *node) {
	r, asked := e.backOffs[n]
	if !asked || r.boot != n.boot || e.world.now <= r.from || e.world.now >= r.until {
		return
	}
	e.world.result.ArrivalsInBackOff++
	r.arrivals++
	e.backOffs[n] = r
	if r.arrivals == maxDuringBackOff+1 {
		e.world.result.violate("rest", "more than two requests of a node in a rest")
	}
}

package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/work"
)

// begin plans a trouble, once or again and again.
func (w *world) begin(f Fault) {
	for _, at := range f.Begins() {
		w.after(max(at-w.now, 0), func() { w.strike(f) })
	}
}

// strike has a trouble begin, and end after its time.
func (w *world) strike(f Fault) {
	switch f.Kind {
	case Crash:
		for _, e := range w.some(f.Share) {
			e.end(f.For)
		}
	case Slow:
		w.harm(f, func(e *engine) { e.slow = max(f.X, 1) }, func(e *engine) { e.slow = 1 })
	case Refuse:
		w.harm(f, func(e *engine) { e.refuses = f.X }, func(e *engine) { e.refuses = 0 })
	case Rest:
		w.harm(f, func(e *engine) { e.refuses, e.asks = 1, seconds(f.X) }, func(e *engine) { e.refuses, e.asks = 0, 0 })
	case Limit:
		w.harm(f, func(e *engine) { e.setLimit(f.drawX(w.troubles)) }, func(e *engine) { e.setLimit(0) })
	case Deadly:
		w.deadly.share, w.deadly.down = f.X, 3200
		w.after(f.For, func() { w.deadly.share = 0 })
	case Burst:
		w.burst = f.X
		w.after(f.For, func() {
			if w.burst > 0 {
				w.burst = 1
			}
		})
	case NodeKill:
		for _, i := range w.troubles.Perm(len(w.nodes))[:part(f.Share, len(w.nodes))] {
			n := w.nodes[i]
			if n.up {
				n.kill()
				w.after(f.For, n.start)
			}
		}
	case ListAway:
		w.list.away = true
		w.after(f.For, func() { w.list.away = false })
	case NodeFreeze, NodeRoll, StoreSlow, PlainFull:
		// Only rehearsals play these.
	}
}

// harm does something to some engines, and undoes it.
func (w *world) harm(f Fault, do, undo func(*engine)) {
	for _, e := range w.some(f.Share) {
		do(e)
		w.after(f.For, func() { undo(e) })
	}
}

// some draws a part of the engines that run.
func (w *world) some(share float64) []*engine {
	var up []*engine
	for _, e := range w.engines {
		if e.up {
			up = append(up, e)
		}
	}
	w.troubles.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:part(share, len(up))]
}

// part is a part of a number of things: one at least, unless there are none.
func part(share float64, of int) int { return min(max(int(share*float64(of)+0.5), 1), of) }

// deadly is the request that ends engines.
type deadly struct {
	share float64
	// down is how long an engine is away that it has ended.
	down clock.Millis
	// ends are the times at which it has ended one, and late how often it was sent later than
	// 3 s after the third.
	ends []clock.Millis
	late int
}

// deadlyAsked names what the deadly request asks for.
var deadlyAsked = work.ID{}.ForAccount("deadly")

const (
	// mostEnds is how many engines a request may end before it is to be sent to none, inTouch
	// how long after that nodes may need to know, and mostLate how often it may be sent then.
	mostEnds              = 3
	inTouch  clock.Millis = 3000
	mostLate              = 3
)

// ends has an attempt of the deadly request end its first engine.
func (w *world) ends(a *attempt, in clock.Millis) {
	if n := len(w.deadly.ends); n >= mostEnds && w.now > w.deadly.ends[mostEnds-1].Add(inTouch) {
		w.deadly.late++
	}
	w.after(in, func() {
		e := a.parts
		if a.over || len(e) == 0 || !e[0].engine.up {
			return
		}
		w.deadly.ends = append(w.deadly.ends, w.now)
		e[0].engine.end(w.deadly.down)
	})
}

// ask has an engine ask a node for rest.
func (e *engine) ask(n *node) {
	if e.asks <= 0 {
		return
	}
	w := e.world
	if r := e.told[n]; w.now.Add(e.asks) > r.until || r.life != n.life {
		e.told[n] = restAsked{life: n.life, from: w.now.Add(restGrace), until: w.now.Add(e.asks)}
	}
	if !w.variant.NoRest {
		id, asks := e.id, e.asks
		w.after(onTheWay, func() { n.tell(dispatch.BackOffMsg{Upstream: id, For: asks}) })
	}
}

// restGrace is how long after a rest was asked for requests may still come that were on their
// way.
const restGrace clock.Millis = 500

// mostInRest is how many may come in the rest of it.
const mostInRest = 2

// judge counts a request of a node that reaches an engine in a rest.
func (e *engine) judge(n *node) {
	r, asked := e.told[n]
	if !asked || r.life != n.life || e.world.now <= r.from || e.world.now >= r.until {
		return
	}
	e.world.result.InRest++
	r.count++
	e.told[n] = r
	if r.count == mostInRest+1 {
		e.world.result.breach("rest", "more than two requests of a node in a rest")
	}
}

package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
)

// What is promised of a limit: later than limitContact after an engine has named it first, no
// limitWindow brings more than limitLeeway times what it allows, and limitSpare requests, from
// the nodes that were told toldBefore or earlier.
const (
	limitWindow  clock.Millis = 4000
	limitContact clock.Millis = 3000
	toldBefore   clock.Millis = 500
	limitLeeway               = 1.5
	limitSpare                = 5
)

// need is what the judge keeps of a limit that an engine names. The zero value is none.
type need struct {
	// rate is in requests a second from all nodes together; zero for no limit.
	rate  float64
	named clock.Millis
	// told is since when the lives of nodes have known it from the engine, and visits are the
	// requests that have come.
	told   map[life]clock.Millis
	visits []visit
	// counted is since when use is counted, and used how many requests came since.
	counted clock.Millis
	used    int
}

// life is one life of a node: what is promised excuses one that has started anew.
type life struct {
	node   *node
	number int
}

// visit is a request that has reached an engine.
type visit struct {
	at   clock.Millis
	from life
}

// setLimit has an engine name a limit; zero for none.
func (e *engine) setLimit(rate float64) {
	w := e.world
	if e.need.rate > 0 && e.held.Len() > 0 && e.held.From == 0 {
		w.result.countUse(e.need, w.now)
	}
	visits := e.need.visits
	e.need = need{rate: rate, named: w.now, told: make(map[life]clock.Millis), visits: visits, counted: w.now.Add(limitContact)}
}

// visited counts a request that has reached an engine, and judges the window that it ends.
func (e *engine) visited(n *node) {
	w, d := e.world, &e.need
	d.visits = append(d.visits, visit{at: w.now, from: life{n, n.life}})
	for d.visits[0].at <= w.now.Sub(limitWindow) {
		d.visits = d.visits[1:]
	}
	if d.rate == 0 || w.now < d.counted {
		return
	}
	d.used++
	count := 0
	for _, v := range d.visits {
		if told, ok := d.told[v.from]; ok && told <= w.now.Sub(toldBefore) {
			count++
		}
	}
	allows := d.rate * limitWindow.Duration().Seconds()
	w.result.MostOfLimit = max(w.result.MostOfLimit, float64(count)/allows)
	if float64(count) > limitLeeway*allows+limitSpare {
		w.result.breach("limit", "more requests than an engine takes from all nodes")
	}
}

// answers has an engine's answer to a request of a node, sent at an age of its process, say
// what it takes.
func (e *engine) answers(n *node, sent clock.Millis) {
	w := e.world
	if e.need.rate > 0 {
		if _, told := e.need.told[life{n, n.life}]; !told {
			e.need.told[life{n, n.life}] = w.now
		}
	}
	if w.variant.NoLimits {
		return
	}
	started, id, rate := n.life, e.id, e.need.rate
	w.after(onTheWay, func() {
		switch {
		case !n.up || n.life != started:
		case rate > 0:
			n.tell(dispatch.AdvertisedLimitMsg{Upstream: id, Rate: rate})
		default:
			n.tell(dispatch.NoAdvertisedLimitMsg{Upstream: id, SentAt: sent})
		}
	})
}

// countUse adds a limit that has ended, or the run with it.
func (r *Result) countUse(d need, until clock.Millis) {
	if until <= d.counted {
		return
	}
	r.limitAllowed += d.rate * until.Sub(d.counted).Duration().Seconds()
	r.limitUsed += float64(d.used)
}

// LimitUsed is the part of what limited engines at which streams begin allowed that reached
// them, from limitContact after they named it on; 1 where there were none.
func (r *Result) LimitUsed() float64 {
	if r.limitAllowed == 0 {
		return 1
	}
	return r.limitUsed / r.limitAllowed
}

// askPermits sends another node a question for permits. Ages are counted on its clock there.
func (n *node) askPermits(cmd limit.AskCmd) {
	n.one(cmd.To, func(o *node) {
		ask := cmd.Ask
		ask.Named = n.namedFor(o, ask.Named)
		o.tell(dispatch.PermitRequestMsg{From: n.name, Ask: ask})
	})
}

// givePermits answers another node's question.
func (n *node) givePermits(cmd dispatch.GrantPermitsCmd) {
	n.one(cmd.To, func(o *node) {
		grant := cmd.Grant
		grant.Named = n.namedFor(o, grant.Named)
		o.tell(dispatch.PermitGrantMsg{From: n.name, Grant: grant})
	})
}

// limitsFor is what is known of limits, by the clock of another node.
func (n *node) limitsFor(o *node, limits map[fleet.Incarnation]limit.Named) map[fleet.Incarnation]limit.Named {
	if n.world.variant.NoLimits {
		return nil
	}
	there := make(map[fleet.Incarnation]limit.Named, len(limits))
	for id, named := range limits {
		there[id] = n.namedFor(o, named)
	}
	return there
}

// namedFor is what is known of a limit, by the clock of another node.
func (n *node) namedFor(o *node, named limit.Named) limit.Named {
	if named.ReceivedAt != clock.Never {
		named.ReceivedAt = o.age().Sub(n.age().Sub(named.ReceivedAt))
	}
	return named
}

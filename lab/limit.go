package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
)

// What is promised of a limit: later than limitGrace after an engine has named it first, no
// limitWindow brings more than limitTolerance times what it allows, and limitAllowance requests, from
// the nodes that were told minNotifiedFor or earlier.
const (
	limitWindow    clock.Millis = 4000
	limitGrace     clock.Millis = 3000
	minNotifiedFor clock.Millis = 500
	limitTolerance              = 1.5
	limitAllowance              = 5
)

// advertisedLimit is what the judge keeps of a limit that an engine names. The zero value is none.
type advertisedLimit struct {
	// rate is in requests a second from all nodes together; zero for no limit.
	rate         float64
	advertisedAt clock.Millis
	// notifiedAt is since when the lives of nodes have known it from the engine, and visits are the
	// requests that have come.
	notifiedAt map[nodeBoot]clock.Millis
	arrivals   []arrival
	// countFrom is since when use is counted, and used how many requests came since.
	countFrom clock.Millis
	counted   int
}

// nodeBoot is one life of a node: what is promised excuses one that has started anew.
type nodeBoot struct {
	node *node
	boot int
}

// arrival is a request that has reached an engine.
type arrival struct {
	at   clock.Millis
	from nodeBoot
}

// setLimit has an engine name a limit; zero for none.
func (e *engine) setLimit(rate float64) {
	w := e.world
	if e.advertised.rate > 0 && e.held.Len() > 0 && e.held.From == 0 {
		w.result.addLimitUse(e.advertised, w.now)
	}
	visits := e.advertised.arrivals
	e.advertised = advertisedLimit{rate: rate, advertisedAt: w.now, notifiedAt: make(map[nodeBoot]clock.Millis), arrivals: visits, countFrom: w.now.Add(limitGrace)}
}

// recordArrival counts a request that has reached an engine, and judges the window that it ends.
func (e *engine) recordArrival(n *node) {
	w, d := e.world, &e.advertised
	d.arrivals = append(d.arrivals, arrival{at: w.now, from: nodeBoot{n, n.boot}})
	for d.arrivals[0].at <= w.now.Sub(limitWindow) {
		d.arrivals = d.arrivals[1:]
	}
	if d.rate == 0 || w.now < d.countFrom {
		return
	}
	d.counted++
	count := 0
	for _, v := range d.arrivals {
		if told, ok := d.notifiedAt[v.from]; ok && told <= w.now.Sub(minNotifiedFor) {
			count++
		}
	}
	allows := d.rate * limitWindow.Duration().Seconds()
	w.result.PeakLimitRatio = max(w.result.PeakLimitRatio, float64(count)/allows)
	if float64(count) > limitTolerance*allows+limitAllowance {
		w.result.violate("limit", "more requests than an engine takes from all nodes")
	}
}

// sendLimit has an engine's answer to a request of a node, sent at an age of its process, say
// what it takes.
func (e *engine) sendLimit(n *node, sent clock.Millis) {
	w := e.world
	if e.advertised.rate > 0 {
		if _, told := e.advertised.notifiedAt[nodeBoot{n, n.boot}]; !told {
			e.advertised.notifiedAt[nodeBoot{n, n.boot}] = w.now
		}
	}
	if w.variant.NoAdvertisedLimits {
		return
	}
	started, id, rate := n.boot, e.id, e.advertised.rate
	w.after(networkDelay, func() {
		switch {
		case !n.running || n.boot != started:
		case rate > 0:
			n.update(dispatch.AdvertisedLimitMsg{Upstream: id, Rate: rate})
		default:
			n.update(dispatch.NoAdvertisedLimitMsg{Upstream: id, SentAt: sent})
		}
	})
}

// addLimitUse adds a limit that has ended, or the run with it.
func (r *Result) addLimitUse(d advertisedLimit, until clock.Millis) {
	if until <= d.countFrom {
		return
	}
	r.limitAllowed += d.rate * until.Sub(d.countFrom).Duration().Seconds()
	r.limitUsed += float64(d.counted)
}

// LimitUtilization is the part of what limited engines at which streams begin allowed that reached
// them, from limitGrace after they named it on; 1 where there were none.
func (r *Result) LimitUtilization() float64 {
	if r.limitAllowed == 0 {
		return 1
	}
	return r.limitUsed / r.limitAllowed
}

// requestPermits sends another node a question for permits. Ages are counted on its clock there.
func (n *node) requestPermits(cmd limit.PermitRequestCmd) {
	n.sendPermitMessage(cmd.To, func(o *node) {
		ask := cmd.PermitRequest
		ask.Advertised = n.limitOnClockOf(o, ask.Advertised)
		o.update(dispatch.PermitRequestMsg{From: n.name, PermitRequest: ask})
	})
}

// grantPermits answers another node's question.
func (n *node) grantPermits(cmd dispatch.GrantPermitsCmd) {
	n.sendPermitMessage(cmd.To, func(o *node) {
		grant := cmd.Grant
		grant.Advertised = n.limitOnClockOf(o, grant.Advertised)
		o.update(dispatch.PermitGrantMsg{From: n.name, Grant: grant})
	})
}

// limitsOnClockOf is what is known of limits, by the clock of another node.
func (n *node) limitsOnClockOf(o *node, limits map[fleet.Incarnation]limit.Advertised) map[fleet.Incarnation]limit.Advertised {
	if n.world.variant.NoAdvertisedLimits {
		return nil
	}
	there := make(map[fleet.Incarnation]limit.Advertised, len(limits))
	for id, named := range limits {
		there[id] = n.limitOnClockOf(o, named)
	}
	return there
}

// limitOnClockOf is what is known of a limit, by the clock of another node.
func (n *node) limitOnClockOf(o *node, named limit.Advertised) limit.Advertised {
	if named.ReceivedAt != clock.Never {
		named.ReceivedAt = o.uptime().Sub(n.uptime().Sub(named.ReceivedAt))
	}
	return named
}

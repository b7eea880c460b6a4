package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
)

// Guarantee for advertised limits. Starting limitGrace after an engine has first advertised a
// limit, no span of limitWindow brings more than limitTolerance times the requests that the
// limit allows, plus limitAllowance. Requests count if their node received the limit at least
// minNotifiedFor earlier.
const (
	limitWindow    clock.Millis = 4000
	limitGrace     clock.Millis = 3000
	minNotifiedFor clock.Millis = 500
	limitTolerance              = 1.5
	limitAllowance              = 5
)

// advertisedLimit is an engine's advertised limit with the requests that count towards it. The
// zero value means no limit.
type advertisedLimit struct {
	// rate is in requests a second from all nodes together; zero means no limit.
	rate         float64
	advertisedAt clock.Millis
	// notifiedAt is when each boot of a node first received the limit from the engine, and
	// arrivals are the recent requests.
	notifiedAt map[nodeBoot]clock.Millis
	arrivals   []arrival
	// countFrom is when counting for the utilization begins, and counted the requests since
	// then.
	countFrom clock.Millis
	counted   int
}

// nodeBoot is one boot of a node. After a restart, the node must receive the limit again before
// its requests count.
type nodeBoot struct {
	node *node
	boot int
}

// arrival is a request that has reached an engine.
type arrival struct {
	at   clock.Millis
	from nodeBoot
}

// setLimit makes an engine advertise a limit; zero removes it.
func (e *engine) setLimit(rate float64) {
	w := e.world
	if e.advertised.rate > 0 && e.held.Len() > 0 && e.held.From == 0 {
		w.result.addLimitUse(e.advertised, w.now)
	}
	arrivals := e.advertised.arrivals
	e.advertised = advertisedLimit{rate: rate, advertisedAt: w.now, notifiedAt: make(map[nodeBoot]clock.Millis), arrivals: arrivals, countFrom: w.now.Add(limitGrace)}
}

// recordArrival counts a request that has reached an engine, and checks the limit over the last
// limitWindow.
func (e *engine) recordArrival(n *node) {
	w, l := e.world, &e.advertised
	l.arrivals = append(l.arrivals, arrival{at: w.now, from: nodeBoot{n, n.boot}})
	for l.arrivals[0].at <= w.now.Sub(limitWindow) {
		l.arrivals = l.arrivals[1:]
	}
	if l.rate == 0 || w.now < l.countFrom {
		return
	}
	l.counted++
	count := 0
	for _, a := range l.arrivals {
		if notifiedAt, ok := l.notifiedAt[a.from]; ok && notifiedAt <= w.now.Sub(minNotifiedFor) {
			count++
		}
	}
	allowed := l.rate * limitWindow.Duration().Seconds()
	w.result.PeakLimitRatio = max(w.result.PeakLimitRatio, float64(count)/allowed)
	if float64(count) > limitTolerance*allowed+limitAllowance {
		w.result.violate("limit", "more requests than an engine's advertised limit allows")
	}
}

// sendLimit sends a node the engine's advertised limit with a response. sentAt is the node's
// uptime when it sent the request.
func (e *engine) sendLimit(n *node, sentAt clock.Millis) {
	w := e.world
	if e.advertised.rate > 0 {
		if _, notified := e.advertised.notifiedAt[nodeBoot{n, n.boot}]; !notified {
			e.advertised.notifiedAt[nodeBoot{n, n.boot}] = w.now
		}
	}
	if w.variant.NoAdvertisedLimits {
		return
	}
	boot, id, rate := n.boot, e.id, e.advertised.rate
	w.after(networkDelay, func() {
		switch {
		case !n.running || n.boot != boot:
		case rate > 0:
			n.update(dispatch.AdvertisedLimitMsg{Upstream: id, Rate: rate})
		default:
			n.update(dispatch.NoAdvertisedLimitMsg{Upstream: id, SentAt: sentAt})
		}
	})
}

// addLimitUse adds the use of a limit that ends, or of one that is active at the end of the
// run.
func (r *Result) addLimitUse(l advertisedLimit, until clock.Millis) {
	if until <= l.countFrom {
		return
	}
	r.limitAllowed += l.rate * until.Sub(l.countFrom).Duration().Seconds()
	r.limitUsed += float64(l.counted)
}

// LimitUtilization returns how much of their advertised limits was used by engines that hold
// the first layer, counted from limitGrace after the advertisement; 1 if there were no limits.
func (r *Result) LimitUtilization() float64 {
	if r.limitAllowed == 0 {
		return 1
	}
	return r.limitUsed / r.limitAllowed
}

// requestPermits sends another node a request for permits, with times on that node's clock.
func (n *node) requestPermits(cmd limit.PermitRequestCmd) {
	n.sendPermitMessage(cmd.To, func(o *node) {
		ask := cmd.PermitRequest
		ask.Advertised = n.limitOnClockOf(o, ask.Advertised)
		o.update(dispatch.PermitRequestMsg{From: n.name, PermitRequest: ask})
	})
}

// grantPermits sends another node the answer to its request for permits.
func (n *node) grantPermits(cmd dispatch.GrantPermitsCmd) {
	n.sendPermitMessage(cmd.To, func(o *node) {
		grant := cmd.Grant
		grant.Advertised = n.limitOnClockOf(o, grant.Advertised)
		o.update(dispatch.PermitGrantMsg{From: n.name, Grant: grant})
	})
}

// limitsOnClockOf returns limits with their times converted to another node's clock.
func (n *node) limitsOnClockOf(o *node, limits map[fleet.Incarnation]limit.Advertised) map[fleet.Incarnation]limit.Advertised {
	if n.world.variant.NoAdvertisedLimits {
		return nil
	}
	converted := make(map[fleet.Incarnation]limit.Advertised, len(limits))
	for id, named := range limits {
		converted[id] = n.limitOnClockOf(o, named)
	}
	return converted
}

// limitOnClockOf returns a limit with its time converted to another node's clock.
func (n *node) limitOnClockOf(o *node, named limit.Advertised) limit.Advertised {
	if named.ReceivedAt != clock.Never {
		named.ReceivedAt = o.uptime().Sub(n.uptime().Sub(named.ReceivedAt))
	}
	return named
}

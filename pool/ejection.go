package pool

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// RecordFailure ejects an upstream after a failed call, so that it gets no work
// for a period that doubles with each consecutive failure. A soft failure, such
// as a slow response, ejects only while the ejected share of the group stays
// within Limits.MaxEjectedShare.
func (p *Pool) RecordFailure(now clock.Millis, u *Upstream, soft bool) {
	if soft && !p.mayEjectSlow(u.group) {
		return
	}
	if now < u.ejectedUntil {
		return
	}
	period := p.limits.BaseEjection << min(u.failures, maxDoublings)
	u.failures++
	if u.ejectedUntil == 0 {
		p.ejected = append(p.ejected, u)
		u.group.ejected++
	}
	u.ejectedUntil = now.Add(min(period, p.limits.MaxEjection))
	u.probing = false
	u.updateGroupLimit()
}

// maxDoublings prevents an overflow of the shift in RecordFailure. The period
// reaches Limits.MaxEjection well before that.
const maxDoublings = 16

// mayEjectSlow reports whether one more slow upstream of the group may be ejected.
func (p *Pool) mayEjectSlow(g *Group) bool {
	return float64(g.ejected+1) <= p.limits.MaxEjectedShare*float64(len(g.members))
}

// StartProbes admits a limited amount of work to each ejected upstream whose
// ejection period has passed. The next success ends the ejection.
func (p *Pool) StartProbes(now clock.Millis) {
	for _, u := range p.ejected {
		if !u.probing && now >= u.ejectedUntil {
			u.probing = true
			u.setLimit(p.limits.Min)
		}
	}
}

// endEjection makes an upstream available again after a success, with the
// initial limit and in slow start.
func (p *Pool) endEjection(u *Upstream) {
	u.ejectedUntil = 0
	u.probing = false
	u.slowStart = true
	u.group.ejected--
	p.ejected = slices.DeleteFunc(p.ejected, func(o *Upstream) bool { return o == u })
	u.setLimit(p.limits.Start)
}

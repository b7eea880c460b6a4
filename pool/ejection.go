package pool

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// RecordFailure takes an upstream out of the choice for a while that doubles with each
// failure in a row. A soft failure, such as a slow answer, does so only while
// enough of the group stays in.
func (p *Pool) RecordFailure(now clock.Millis, u *Upstream, soft bool) {
	if soft && !p.mayEjectSlow(u.group) {
		return
	}
	if now < u.ejectedUntil {
		return
	}
	pause := p.limits.BaseEjection << min(u.failures, maxDoublings)
	u.failures++
	if u.ejectedUntil == 0 {
		p.ejected = append(p.ejected, u)
		u.group.ejected++
	}
	u.ejectedUntil = now.Add(min(pause, p.limits.MaxEjection))
	u.probing = false
	u.updateGroupLimit()
}

// maxDoublings keeps the shift in Fail from overflowing; the longest ejection
// is reached well before.
const maxDoublings = 16

func (p *Pool) mayEjectSlow(g *Group) bool {
	return float64(g.ejected+1) <= p.limits.MaxEjectedShare*float64(len(g.members))
}

// StartProbes lets ejected upstreams whose time is over take one piece of work.
func (p *Pool) StartProbes(now clock.Millis) {
	for _, u := range p.ejected {
		if !u.probing && now >= u.ejectedUntil {
			u.probing = true
			u.setLimit(p.limits.Min)
		}
	}
}

// endEjection ends an ejection after a success, with a small limit that grows.
func (p *Pool) endEjection(u *Upstream) {
	u.ejectedUntil = 0
	u.probing = false
	u.slowStart = true
	u.group.ejected--
	p.ejected = slices.DeleteFunc(p.ejected, func(o *Upstream) bool { return o == u })
	u.setLimit(p.limits.Start)
}

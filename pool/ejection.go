package pool

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Fail takes an upstream out of the choice for a while that doubles with each
// failure in a row. A soft failure, such as a slow answer, does so only while
// enough of the group stays in.
func (p *Pool) Fail(now clock.Millis, u *Upstream, soft bool) {
	if soft && !p.maySpare(u.group) {
		return
	}
	if now < u.ejectedUntil {
		return
	}
	pause := p.limits.Ejection << min(u.failures, maxDoublings)
	u.failures++
	if u.ejectedUntil == 0 {
		p.out = append(p.out, u)
		u.group.out++
	}
	u.ejectedUntil = now.Add(min(pause, p.limits.LongestEjection))
	u.probing = false
	u.recount()
}

// maxDoublings keeps the shift in Fail from overflowing; the longest ejection
// is reached well before.
const maxDoublings = 16

func (p *Pool) maySpare(g *Group) bool {
	return float64(g.out+1) <= p.limits.MostOut*float64(len(g.members))
}

// Tick lets ejected upstreams whose time is over take one piece of work.
func (p *Pool) Tick(now clock.Millis) {
	for _, u := range p.out {
		if !u.probing && now >= u.ejectedUntil {
			u.probing = true
			u.setLimit(p.limits.Least)
		}
	}
}

// restore ends an ejection after a success, with a small limit that grows.
func (p *Pool) restore(u *Upstream) {
	u.ejectedUntil = 0
	u.probing = false
	u.slowStart = true
	u.group.out--
	p.out = slices.DeleteFunc(p.out, func(o *Upstream) bool { return o == u })
	u.setLimit(p.limits.Start)
}

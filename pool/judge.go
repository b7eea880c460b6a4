package pool

import (
	"github.com/hoistjunction/hoistjunction/clock"
)

// Grow raises an upstream's limit, if it was in use.
func (p *Pool) Grow(u *Upstream) {
	if float64(u.busiest) < u.limit*p.limits.InUse {
		return
	}
	if u.slowStart {
		u.setLimit(min(u.limit*p.limits.Ahead, p.limits.Most))
		return
	}
	u.setLimit(min(u.limit+p.limits.Step, p.limits.Most))
}

// Shrink lowers an upstream's limit.
func (p *Pool) Shrink(u *Upstream) {
	u.slowStart = false
	base := min(u.limit, float64(u.inFlight)+1)
	u.setLimit(max(base*p.limits.Back, p.limits.Least))
}

// Judge compares the time that a chain of upstreams took with its bound. When
// it was missed the slowest is to blame.
func (p *Pool) Judge(now clock.Millis, chain []*Upstream, took, bound clock.Millis) {
	missed := float64(took) > float64(bound)*p.limits.Aim
	slowest := chain[0]
	for _, u := range chain {
		u.judged++
		u.busiest = max(u.busiest, u.inFlight)
		if u.step.value > slowest.step.value {
			slowest = u
		}
	}
	if missed {
		slowest.missed++
	}
	for _, u := range chain {
		p.settle(now, u)
	}
}

// settle closes a window of answers, once it holds enough of them: the limit
// goes down when too many were late, and up when hardly any were. It moves
// once a window either way, so that what it sees is what its last move did.
func (p *Pool) settle(now clock.Millis, u *Upstream) {
	if now.Sub(u.resized) < p.limits.Window || u.judged < p.limits.Enough {
		return
	}
	late := float64(u.missed) / float64(u.judged)
	switch {
	case late > p.limits.MayMiss:
		p.Shrink(u)
	case late <= p.limits.MayMiss/2:
		p.Grow(u)
	}
	u.resized = now
	u.judged, u.missed, u.busiest = 0, 0, 0
}

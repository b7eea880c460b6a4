package pool

import (
	"github.com/hoistjunction/hoistjunction/clock"
)

// IncreaseLimit raises an upstream's limit, if it was in use.
func (p *Pool) IncreaseLimit(u *Upstream) {
	if float64(u.windowPeak) < u.limit*p.limits.MinUtilization {
		return
	}
	if u.slowStart {
		u.setLimit(min(u.limit*p.limits.SlowStartFactor, p.limits.Max))
		return
	}
	u.setLimit(min(u.limit+p.limits.Increment, p.limits.Max))
}

// DecreaseLimit lowers an upstream's limit.
func (p *Pool) DecreaseLimit(u *Upstream) {
	u.slowStart = false
	base := min(u.limit, float64(u.inFlight)+1)
	u.setLimit(max(base*p.limits.DecreaseFactor, p.limits.Min))
}

// RecordChainTime compares the time that a chain of upstreams took with its bound. When
// it was missed the slowest is to blame.
func (p *Pool) RecordChainTime(now clock.Millis, chain []*Upstream, took, bound clock.Millis) {
	missed := float64(took) > float64(bound)*p.limits.TargetShare
	slowest := chain[0]
	for _, u := range chain {
		u.windowAnswers++
		u.windowPeak = max(u.windowPeak, u.inFlight)
		if u.stepTime.value > slowest.stepTime.value {
			slowest = u
		}
	}
	if missed {
		slowest.windowMisses++
	}
	for _, u := range chain {
		p.adjustLimit(now, u)
	}
}

// adjustLimit closes a window of answers, once it holds enough of them: the limit
// goes down when too many were late, and up when hardly any were. It moves
// once a window either way, so that what it sees is what its last move did.
func (p *Pool) adjustLimit(now clock.Millis, u *Upstream) {
	if now.Sub(u.limitAdjustedAt) < p.limits.Window || u.windowAnswers < p.limits.MinAnswers {
		return
	}
	late := float64(u.windowMisses) / float64(u.windowAnswers)
	switch {
	case late > p.limits.MaxMissShare:
		p.DecreaseLimit(u)
	case late <= p.limits.MaxMissShare/2:
		p.IncreaseLimit(u)
	}
	u.limitAdjustedAt = now
	u.windowAnswers, u.windowMisses, u.windowPeak = 0, 0, 0
}

package pool

import (
	"github.com/hoistjunction/hoistjunction/clock"
)

// IncreaseLimit raises the limit of an upstream if enough of it was in use.
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

// DecreaseLimit lowers the limit of an upstream and ends its slow start.
func (p *Pool) DecreaseLimit(u *Upstream) {
	u.slowStart = false
	base := min(u.limit, float64(u.inFlight)+1)
	u.setLimit(max(base*p.limits.DecreaseFactor, p.limits.Min))
}

// RecordChainTime compares the time that a chain of upstreams took with its
// latency bound. If the bound is missed, the miss counts against the slowest
// upstream of the chain.
func (p *Pool) RecordChainTime(now clock.Millis, chain []*Upstream, elapsed, bound clock.Millis) {
	missed := float64(elapsed) > float64(bound)*p.limits.TargetShare
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

// adjustLimit closes the measuring window of an upstream once the window is long
// enough and holds enough responses. The limit decreases if too many responses
// were late, and increases if hardly any were. It changes at most once a window,
// so that each window measures the effect of the last change.
func (p *Pool) adjustLimit(now clock.Millis, u *Upstream) {
	if now.Sub(u.limitAdjustedAt) < p.limits.Window || u.windowAnswers < p.limits.MinAnswers {
		return
	}
	lateShare := float64(u.windowMisses) / float64(u.windowAnswers)
	switch {
	case lateShare > p.limits.MaxMissShare:
		p.DecreaseLimit(u)
	case lateShare <= p.limits.MaxMissShare/2:
		p.IncreaseLimit(u)
	}
	u.limitAdjustedAt = now
	u.windowAnswers, u.windowMisses, u.windowPeak = 0, 0, 0
}

package dispatch

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// fleetProbesPerUpstream bounds the probes of all nodes together: so many a second for each upstream.
	// Each node finds out about each upstream by itself, so without a bound they would grow with the
	// product of both, and take from upstreams and nodes the time in which they would answer.
	fleetProbesPerUpstream = 4.0
	// minProbeRate is the least rate of a node, in probes a second, and overloadedProbeRate that of a node
	// which has more to do than its processor bears.
	minProbeRate        = 2.0
	overloadedProbeRate = 1.0
	// probeBurstTime is the time in seconds for which an unused rate is kept, so that the loss of
	// a rack is found out at once.
	probeBurstTime = 5.0
)

// probeBudget bounds the probes of this node to its share of the fleet's.
type probeBudget struct{ limiter *rate.Limiter }

func newProbeBudget() probeBudget {
	return probeBudget{limiter: rate.NewLimiter(minProbeRate, int(minProbeRate*probeBurstTime))}
}

// setShare sets the budget of one of several nodes that probe upstreams.
func (b probeBudget) setShare(now clock.Millis, upstreams, nodes int, overloaded bool) {
	perSecond := max(minProbeRate, fleetProbesPerUpstream*float64(upstreams)/float64(max(nodes, 1)))
	if overloaded {
		perSecond = overloadedProbeRate
	}
	b.limiter.SetLimitAt(probeTime(now), rate.Limit(perSecond))
	b.limiter.SetBurstAt(probeTime(now), int(perSecond*probeBurstTime))
}

// take takes up to a number of probes from the budget, and returns how many.
func (b probeBudget) take(now clock.Millis, wanted int) int {
	for n := range wanted {
		if !b.limiter.AllowN(probeTime(now), 1) {
			return n
		}
	}
	return wanted
}

// probeTime returns a time of the node's clock in the form that the limiter takes.
func probeTime(now clock.Millis) time.Time { return time.UnixMilli(int64(now)) }

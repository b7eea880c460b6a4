package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// limitSeed selects the random stream of the advertised limits. Upstream i uses limitSeed +
	// i.
	limitSeed = 63
	// minLimitDuration and maxLimitDuration bound how long an upstream advertises a limit.
	// Nodes must respect a limit from limitGrace after its first response on.
	minLimitDuration = 5 * time.Second
	maxLimitDuration = 10 * time.Second
	limitGrace       = 3 * time.Second
	// maxLimitPause bounds the pause between two limits of an upstream.
	maxLimitPause = 3 * time.Second
)

// limitValues are the advertised limits in requests per second. Most are below the load of an
// upstream; some are unusable, to check that nodes ignore them.
var limitValues = []string{"0.5", "0.5", "1", "0.25", "2", "4.5", "0", "1e9", "few", "-1"}

// limitSeries has one upstream advertise limits in turn: an engine, or the plain service if the
// index follows the last engine.
func (r *runner) limitSeries(ctx context.Context, index int, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxLimitPause))))
		name := limitValues[random.IntN(len(limitValues))]
		duration := minLimitDuration + time.Duration(random.Int64N(int64(maxLimitDuration-minLimitDuration)))
		description, err := r.advertiseLimit(index, name)
		r.logFault(fmt.Sprintf("%s advertises the limit %q", description, name), duration, err)
		sleep(ctx, duration)
		if _, err := r.advertiseLimit(index, ""); err != nil {
			r.logFault(description+": remove the advertised limit", 0, err)
		}
	}
}

// advertiseLimit has an engine or the plain service advertise a limit; an empty value removes
// it. It returns the name of the upstream.
func (r *runner) advertiseLimit(index int, name string) (string, error) {
	f := standin.LimitFaults{Advertised: name}
	if index == len(r.cluster.engines) {
		return "desk", postJSON("http://"+r.cluster.plainServices[len(r.cluster.plainServices)-1].Address()+"/limit", f)
	}
	if !r.cluster.engineMu[index].TryLock() {
		return "nobody", nil
	}
	defer r.cluster.engineMu[index].Unlock()
	return r.cluster.engineName(index), postJSON("http://"+r.cluster.engines[index].Address()+"/limit", f)
}

// limitBreaches returns the spans in which an upstream received more requests than its
// advertised limit from nodes that were not disturbed.
func (r *runner) limitBreaches(upstream string, list []standin.ReceivedRequest) []string {
	excused := func(node string, fromMS, toMS int64) bool {
		from, to := time.UnixMilli(fromMS).Add(-disturbanceTail), time.UnixMilli(toMS)
		return node == "" || r.disturbed.overlaps(node, from, to)
	}
	var violations []string
	for _, b := range standin.LimitBreaches(list, r.callers.nodeOf, limitGrace, excused) {
		violations = append(violations, fmt.Sprintf("%s advertised %v requests per second and received %d in 4 s from %v; allowed %d", upstream, b.Limit, b.Count, b.RequestsByNode, b.Allowed))
	}
	return violations
}

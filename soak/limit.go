package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// limitSeed is the part of the seed of the upstreams that name limits, which do so beside
	// the series.
	limitSeed = 63
	// minLimitDuration and maxLimitDuration bound for how long one names a limit: the promise
	// counts from limitGrace on.
	minLimitDuration = 5 * time.Second
	maxLimitDuration = 10 * time.Second
	limitGrace       = 3 * time.Second
	// maxLimitPause bounds the pause between two of them.
	maxLimitPause = 3 * time.Second
)

// limitValues are what upstreams name: mostly less than what comes to them.
var limitValues = []string{"0.5", "0.5", "1", "0.25", "2", "4.5", "0", "1e9", "few", "-1"}

// limitSeries has one upstream name limits, one after the other: an engine, or the desk.
func (s *runner) limitSeries(ctx context.Context, which int, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxLimitPause))))
		name := limitValues[random.IntN(len(limitValues))]
		lasts := minLimitDuration + time.Duration(random.Int64N(int64(maxLimitDuration-minLimitDuration)))
		what, err := s.advertiseLimit(which, name)
		s.logFault(fmt.Sprintf("%s names the limit %q", what, name), lasts, err)
		sleep(ctx, lasts)
		if _, err := s.advertiseLimit(which, ""); err != nil {
			s.logFault(what+" names its limit still", 0, err)
		}
	}
}

// advertiseLimit has an engine name a limit, or the desk; none where the name is empty.
func (s *runner) advertiseLimit(which int, name string) (string, error) {
	f := standin.LimitFaults{Advertised: name}
	if which == len(s.cluster.engines) {
		return "desk", postJSON("http://"+s.cluster.plainServices[len(s.cluster.plainServices)-1].Address()+"/limit", f)
	}
	if !s.cluster.engineMu[which].TryLock() {
		return "nobody", nil
	}
	defer s.cluster.engineMu[which].Unlock()
	return s.cluster.engineName(which), postJSON("http://"+s.cluster.engines[which].Address()+"/limit", f)
}

// limitBreaches returns the spans in which an upstream got more requests than it had named to
// nodes that were not disturbed.
func (s *runner) limitBreaches(upstream string, list []standin.ReceivedRequest) []string {
	excused := func(node string, fromMS, toMS int64) bool {
		from, to := time.UnixMilli(fromMS).Add(-disturbanceTail), time.UnixMilli(toMS)
		return node == "" || s.disturbed.overlaps(node, from, to)
	}
	var broken []string
	for _, b := range standin.LimitBreaches(list, s.callers.nodeOf, limitGrace, excused) {
		broken = append(broken, fmt.Sprintf("%s had named %v a second and got %d requests in 4 s, of %v; allowed %d", upstream, b.Limit, b.Count, b.RequestsByNode, b.Allowed))
	}
	return broken
}

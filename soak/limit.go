package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// limitPart is the part of the seed of the upstreams that name limits, which do so beside
	// the series.
	limitPart = 63
	// leastLimited and longestLimited bound for how long one names a limit: the promise
	// counts from limitContact on.
	leastLimited   = 5 * time.Second
	longestLimited = 10 * time.Second
	limitContact   = 3 * time.Second
	// betweenLimits bounds the pause between two of them.
	betweenLimits = 3 * time.Second
)

// limitNames are what upstreams name: mostly less than what comes to them.
var limitNames = []string{"0.5", "0.5", "1", "0.25", "2", "4.5", "0", "1e9", "few", "-1"}

// limitSeries has one upstream name limits, one after the other: an engine, or the desk.
func (s *soak) limitSeries(ctx context.Context, which int, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(betweenLimits))))
		name := limitNames[random.IntN(len(limitNames))]
		lasts := leastLimited + time.Duration(random.Int64N(int64(longestLimited-leastLimited)))
		what, err := s.nameLimit(which, name)
		s.note(fmt.Sprintf("%s names the limit %q", what, name), lasts, err)
		sleep(ctx, lasts)
		if _, err := s.nameLimit(which, ""); err != nil {
			s.note(what+" names its limit still", 0, err)
		}
	}
}

// nameLimit has an engine name a limit, or the desk; none where the name is empty.
func (s *soak) nameLimit(which int, name string) (string, error) {
	f := standin.LimitFaults{Advertised: name}
	if which == len(s.world.engines) {
		return "desk", post("http://"+s.world.desks[len(s.world.desks)-1].Address()+"/limit", f)
	}
	if !s.world.engineBusy[which].TryLock() {
		return "nobody", nil
	}
	defer s.world.engineBusy[which].Unlock()
	return s.world.engineName(which), post("http://"+s.world.engines[which].Address()+"/limit", f)
}

// limitBreaches returns the spans in which an upstream got more requests than it had named to
// nodes that were not disturbed.
func (s *soak) limitBreaches(upstream string, list []standin.ReceivedRequest) []string {
	excused := func(node string, fromMS, toMS int64) bool {
		from, to := time.UnixMilli(fromMS).Add(-disturbedFor), time.UnixMilli(toMS)
		return node == "" || s.disturbed.within(node, from, to)
	}
	var broken []string
	for _, b := range standin.LimitBreaches(list, s.callers.nodeOf, limitContact, excused) {
		broken = append(broken, fmt.Sprintf("%s had named %v a second and got %d requests in 4 s, of %v; allowed %d", upstream, b.Limit, b.Count, b.RequestsByNode, b.Allowed))
	}
	return broken
}

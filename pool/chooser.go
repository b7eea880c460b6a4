package pool

import "math/rand/v2"

// Chooser picks one upstream of a group among those that fit. It returns nil
// when none fits.
type Chooser interface {
	Choose(g *Group, rng *rand.Rand, fits func(*Upstream) bool) *Upstream
}

// TwoChoices takes the less crowded of two upstreams drawn at random. Many
// nodes that see the same stale report then do not all run to the same
// upstream (Mitzenmacher, 2001).
type TwoChoices struct{}

// Choose implements Chooser. It looks at a few upstreams only, unless those
// are all full.
func (TwoChoices) Choose(g *Group, rng *rand.Rand, fits func(*Upstream) bool) *Upstream {
	const tries = 8
	var first *Upstream
	for range tries {
		u := g.members[rng.IntN(len(g.members))]
		if u == first || !fits(u) {
			continue
		}
		if first == nil {
			first = u
			continue
		}
		return lowerScore(first, u)
	}
	if first != nil {
		return first
	}
	return best(g, rng.IntN(len(g.members)), fits, lowerScore)
}

// LeastInFlight takes the upstream where this node has the least work. It is
// a baseline.
type LeastInFlight struct{}

// Choose implements Chooser.
func (LeastInFlight) Choose(g *Group, _ *rand.Rand, fits func(*Upstream) bool) *Upstream {
	return best(g, 0, fits, func(a, b *Upstream) *Upstream {
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	})
}

// RoundRobin takes the upstreams in turn. It is a baseline.
type RoundRobin struct{ last map[*Group]int }

// NewRoundRobin returns a RoundRobin that starts with each group's first.
func NewRoundRobin() *RoundRobin { return &RoundRobin{last: make(map[*Group]int)} }

// Choose implements Chooser.
func (r *RoundRobin) Choose(g *Group, _ *rand.Rand, fits func(*Upstream) bool) *Upstream {
	r.last[g]++
	return best(g, r.last[g], fits, func(a, _ *Upstream) *Upstream { return a })
}

func lowerScore(a, b *Upstream) *Upstream {
	if b.loadScore() < a.loadScore() {
		return b
	}
	return a
}

// best looks at the whole group from a place on, and keeps the better of each
// two that fit.
func best(g *Group, from int, fits func(*Upstream) bool, better func(a, b *Upstream) *Upstream) *Upstream {
	var best *Upstream
	for i := range g.members {
		u := g.members[(from+i)%len(g.members)]
		if !fits(u) {
			continue
		}
		if best == nil {
			best = u
			continue
		}
		best = better(best, u)
	}
	return best
}

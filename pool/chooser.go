package pool

import "math/rand/v2"

// Chooser chooses one upstream of a group among the eligible ones, or returns
// nil when none is eligible.
type Chooser interface {
	Choose(g *Group, rng *rand.Rand, eligible func(*Upstream) bool) *Upstream
}

// TwoChoices draws two upstreams at random and takes the one with the lower
// load score. Random draws keep many nodes with the same stale load report from
// all choosing the same upstream (Mitzenmacher, 2001).
type TwoChoices struct{}

// Choose implements Chooser. It draws at most a fixed number of upstreams, and
// scans the whole group only if none of the drawn ones is eligible.
func (TwoChoices) Choose(g *Group, rng *rand.Rand, eligible func(*Upstream) bool) *Upstream {
	const tries = 8
	var first *Upstream
	for range tries {
		u := g.members[rng.IntN(len(g.members))]
		if u == first || !eligible(u) {
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
	return best(g, rng.IntN(len(g.members)), eligible, lowerScore)
}

// LeastInFlight takes the upstream with the fewest requests in flight from this
// node. It is a baseline for measurements.
type LeastInFlight struct{}

// Choose implements Chooser.
func (LeastInFlight) Choose(g *Group, _ *rand.Rand, eligible func(*Upstream) bool) *Upstream {
	return best(g, 0, eligible, func(a, b *Upstream) *Upstream {
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	})
}

// RoundRobin takes the upstreams of a group in turn. It is a baseline for
// measurements.
type RoundRobin struct{ last map[*Group]int }

// NewRoundRobin returns a RoundRobin that keeps a separate position for each group.
func NewRoundRobin() *RoundRobin { return &RoundRobin{last: make(map[*Group]int)} }

// Choose implements Chooser.
func (r *RoundRobin) Choose(g *Group, _ *rand.Rand, eligible func(*Upstream) bool) *Upstream {
	r.last[g]++
	return best(g, r.last[g], eligible, func(a, _ *Upstream) *Upstream { return a })
}

// lowerScore returns the upstream with the lower load score; a if they are equal.
func lowerScore(a, b *Upstream) *Upstream {
	if b.loadScore() < a.loadScore() {
		return b
	}
	return a
}

// best returns the best eligible upstream of the group, or nil. It scans the
// whole group beginning at index start; better returns the preferred one of two
// upstreams.
func best(g *Group, start int, eligible func(*Upstream) bool, better func(a, b *Upstream) *Upstream) *Upstream {
	var chosen *Upstream
	for i := range g.members {
		u := g.members[(start+i)%len(g.members)]
		if !eligible(u) {
			continue
		}
		if chosen == nil {
			chosen = u
			continue
		}
		chosen = better(chosen, u)
	}
	return chosen
}

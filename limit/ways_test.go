package limit_test

import (
	"math"
	"os"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/internal/script"
	"github.com/hoistjunction/hoistjunction/limit"
)

// The ways that were weighed beside permits, none of which asks anybody:
//
//	even    each node keeps an equal part of the limit
//	demand  each keeps the part of it that its requests are of all that it has heard of
//	few     the first nodes in order, one for each two requests a second, keep it among them

// aloneNode is what a node knows that asks nobody.
type aloneNode struct {
	level   float64
	levelAt clock.Millis
	// demand is its own, in requests a second, told is that of others.
	demand   float64
	demandAt clock.Millis
	told     map[string]toldDemand
}

type toldDemand struct {
	at     clock.Millis
	demand float64
}

// came counts a request for the demand, which is a mean over about a second.
func (a *aloneNode) came(now clock.Millis) {
	a.demand = a.demand*math.Exp(-float64(now.Sub(a.demandAt))/1000) + 1
	a.demandAt = now
}

func (a *aloneNode) hear(from string, demand float64, now clock.Millis) {
	if a.told == nil {
		a.told = make(map[string]toldDemand)
	}
	a.told[from] = toldDemand{at: now, demand: demand}
}

// part is the part of the limit that a node keeps.
func (n *simNode) part() float64 {
	switch n.sim.way {
	case "few":
		var names []string
		for _, o := range n.sim.nodes {
			names = append(names, o.name)
		}
		few := limit.Order(names, simUpstream)
		few = few[:max(1, min(len(few), int(n.sim.rate/2)))]
		if slices.Contains(few, n.name) {
			return 1 / float64(len(few))
		}
		return 0
	case "demand":
		sum := n.alone.demand
		for _, t := range n.alone.told {
			if n.sim.now <= t.at.Add(1500) {
				sum += t.demand
			}
		}
		return n.alone.demand / max(sum, 1e-9)
	}
	return 1 / float64(len(n.sim.nodes))
}

// retryAlone sends what the node's own part allows, and refuses the rest.
func (n *simNode) retryAlone() {
	w, a := n.sim, &n.alone
	a.level = min(a.level+float64(w.now.Sub(a.levelAt))/1000*w.rate*n.part(), max(1, w.rate*n.part()*0.1))
	a.levelAt = w.now
	for len(n.pending) > 0 && a.level >= 1 {
		a.level--
		w.arrivals = append(w.arrivals, w.now)
		n.pending = n.pending[1:]
	}
	n.pending = nil
}

// TestLimitWays prints the figures of docs/design/limits.md: LIMIT_WAYS=1 go test ./limit -run
// LimitWays -v
func TestLimitWays(t *testing.T) {
	if os.Getenv("LIMIT_WAYS") == "" {
		t.Skip("prints a table by hand")
	}
	script.Run(t, "testdata/ways", func(*testing.T) func(script.Step) []string {
		p := &simPlay{}
		return p.step
	})
}

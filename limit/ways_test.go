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

// localState is what a node knows that asks nobody.
type localState struct {
	available  float64
	refilledAt clock.Millis
	// demand is its own, in requests a second, told is that of others.
	demand     float64
	demandAt   clock.Millis
	peerDemand map[string]reportedDemand
}

type reportedDemand struct {
	at     clock.Millis
	demand float64
}

// recordArrival counts a request for the demand, which is a mean over about a second.
func (a *localState) recordArrival(now clock.Millis) {
	a.demand = a.demand*math.Exp(-float64(now.Sub(a.demandAt))/1000) + 1
	a.demandAt = now
}

func (a *localState) recordPeerDemand(from string, demand float64, now clock.Millis) {
	if a.peerDemand == nil {
		a.peerDemand = make(map[string]reportedDemand)
	}
	a.peerDemand[from] = reportedDemand{at: now, demand: demand}
}

// localFraction is the part of the limit that a node keeps.
func (n *simNode) localFraction() float64 {
	switch n.sim.strategy {
	case "few":
		var names []string
		for _, o := range n.sim.nodes {
			names = append(names, o.name)
		}
		few := limit.Candidates(names, simUpstream)
		few = few[:max(1, min(len(few), int(n.sim.rate/2)))]
		if slices.Contains(few, n.name) {
			return 1 / float64(len(few))
		}
		return 0
	case "demand":
		sum := n.local.demand
		for _, t := range n.local.peerDemand {
			if n.sim.now <= t.at.Add(1500) {
				sum += t.demand
			}
		}
		return n.local.demand / max(sum, 1e-9)
	}
	return 1 / float64(len(n.sim.nodes))
}

// retryLocal sends what the node's own part allows, and refuses the rest.
func (n *simNode) retryLocal() {
	w, a := n.sim, &n.local
	a.available = min(a.available+float64(w.now.Sub(a.refilledAt))/1000*w.rate*n.localFraction(), max(1, w.rate*n.localFraction()*0.1))
	a.refilledAt = w.now
	for len(n.pending) > 0 && a.available >= 1 {
		a.available--
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
		p := &simScript{}
		return p.step
	})
}

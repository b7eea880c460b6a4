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

// Alternatives to permits, in which each node enforces its own fraction of the limit:
//
//	even    each node uses an equal fraction of the limit
//	demand  each node uses the fraction that its demand is of all reported demand
//	few     the first candidates, one for each two requests a second, share the limit equally

// localState is the state of a node that enforces the limit without requests to other nodes.
type localState struct {
	available  float64
	refilledAt clock.Millis
	// demand is the node's own demand in requests a second, and peerDemand that of the other
	// nodes.
	demand     float64
	demandAt   clock.Millis
	peerDemand map[string]reportedDemand
}

type reportedDemand struct {
	at     clock.Millis
	demand float64
}

// recordArrival counts a request towards the demand, a mean over about a second.
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

// localFraction returns the fraction of the limit that a node uses.
func (n *simNode) localFraction() float64 {
	switch n.sim.strategy {
	case "few":
		var names []string
		for _, o := range n.sim.nodes {
			names = append(names, o.name)
		}
		candidates := limit.Candidates(names, simUpstream)
		candidates = candidates[:max(1, min(len(candidates), int(n.sim.rate/2)))]
		if slices.Contains(candidates, n.name) {
			return 1 / float64(len(candidates))
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

// retryLocal sends the requests that fit the node's own fraction, and drops the others.
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

// TestLimitWays prints the figures of docs/design/limits.md. Run it with
// LIMIT_WAYS=1 go test ./limit -run LimitWays -v
func TestLimitWays(t *testing.T) {
	if os.Getenv("LIMIT_WAYS") == "" {
		t.Skip("prints a table for manual use; set LIMIT_WAYS to run it")
	}
	script.Run(t, "testdata/ways", func(*testing.T) func(script.Step) []string {
		p := &simScript{}
		return p.step
	})
}

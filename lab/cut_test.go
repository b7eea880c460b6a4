package lab

import "testing"

// cutSeeds is the number of seeds of each test of cut nodes.
const cutSeeds = 4

// Guards against nodes that refuse requests because they reach no engine themselves, although other
// nodes reach them all.
func TestCutNodesServeThroughOthers(t *testing.T) {
	s := load(t, "cut")
	for seed := range uint64(cutSeeds) {
		r := Run(s, Variant{}, seed)
		others := float64(r.ServedShare())
		if got := float64(r.CutServed) / float64(r.CutTries); got < 0.9*others {
			t.Errorf("seed %d: got %.3f of %d first tries at cut nodes served, want at least 0.9 of the %.3f of all", seed, got, r.CutTries, others)
		}
		if len(r.Violations) != 0 {
			t.Errorf("seed %d: got violations %v, want none", seed, r.Violations)
		}
	}
	if r := Run(s, without(t, "forwarding"), 0); r.Forwards != 0 || r.CutServed*2 > r.CutTries {
		t.Errorf("got %d forwards, %d of %d served at nodes that pass nothing on, want none and less than half", r.Forwards, r.CutServed, r.CutTries)
	}
}

// Guards against a node that takes the engines for lost that only it does not reach, and whose orders
// then move layers off engines that serve the others.
func TestCutNodesMoveNoLayers(t *testing.T) {
	s := load(t, "cut")
	calm := *s
	calm.Faults = nil
	for seed := range uint64(cutSeeds) {
		if got, want := Run(s, Variant{}, seed).PlacementOrders, Run(&calm, Variant{}, seed).PlacementOrders; got != want {
			t.Errorf("seed %d: got %d orders carried out, want the %d of a run without a cut", seed, got, want)
		}
	}
}

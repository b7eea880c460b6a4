package lab

import "testing"

// What nodes tell each other must not grow with the nodes of a data centre, nor what they do
// for each engine: a hub's share does, and is the only one. Two hundred nodes of a data centre
// heard 660 datagrams a second each.
func TestWhatNodesTellDoesNotGrow(t *testing.T) {
	s, err := LoadScenario("../examples/lab/scale.ini")
	if err != nil {
		t.Fatal(err)
	}
	s.Load.DurationMS, s.Load.WarmupMS = 4000, 6000
	var results []*Result
	sizes := []int{30, 150}
	for _, nodes := range sizes {
		results = append(results, Run(s.Scaled(nodes, true), Variant{}, 3))
	}
	for i, r := range results {
		if len(r.Violations) > 0 {
			t.Errorf("%d nodes: got promises broken: %v", sizes[i], r.Violations)
		}
		if got, want := r.Received.Median, 40.0; got > want {
			t.Errorf("%d nodes: got %.1f datagrams heard a second at the middle node, want %.0f at most", sizes[i], got, want)
		}
		if got, want := r.Sent.Median, 40.0; got > want {
			t.Errorf("%d nodes: got %.1f datagrams sent a second at the middle node, want %.0f at most", sizes[i], got, want)
		}
		if got, want := r.Received.Max, 5.0*float64(sizes[i]); got > want {
			t.Errorf("%d nodes: got %.1f datagrams heard a second at the busiest node, want %.0f at most", sizes[i], got, want)
		}
	}
}

package lab

import "testing"

// Guards against datagram rates that grow with the number of nodes or engines of a data centre;
// only the rate of a hub may grow. With a full mesh, each of two hundred nodes of a data centre
// received 660 datagrams a second.
func TestDatagramRatesDoNotGrow(t *testing.T) {
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
			t.Errorf("%d nodes: got violations %v, want none", sizes[i], r.Violations)
		}
		if got, want := r.Received.Median, 40.0; got > want {
			t.Errorf("%d nodes: got %.1f datagrams received a second at the median node, want at most %.0f", sizes[i], got, want)
		}
		if got, want := r.Sent.Median, 40.0; got > want {
			t.Errorf("%d nodes: got %.1f datagrams sent a second at the median node, want at most %.0f", sizes[i], got, want)
		}
		if got, want := r.Received.Max, 5.0*float64(sizes[i]); got > want {
			t.Errorf("%d nodes: got %.1f datagrams received a second at the busiest node, want at most %.0f", sizes[i], got, want)
		}
	}
}

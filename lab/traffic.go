package lab

import "slices"

// Traffic is what nodes tell each other, in datagrams a second at the middle node and at the
// busiest.
type Traffic struct{ Middle, Most float64 }

// trafficOf sums up counts of nodes over a time in seconds.
func trafficOf(counts []int, seconds float64) Traffic {
	if len(counts) == 0 || seconds <= 0 {
		return Traffic{}
	}
	slices.Sort(counts)
	return Traffic{Middle: float64(counts[len(counts)/2]) / seconds, Most: float64(counts[len(counts)-1]) / seconds}
}

// countTraffic begins to count what nodes tell each other.
func (w *world) countTraffic() {
	for _, n := range w.nodes {
		n.heard, n.sent = 0, 0
	}
}

// noteTraffic notes what they have told each other since, for a time in seconds.
func (w *world) noteTraffic(seconds float64) {
	var heard, sent []int
	for _, n := range w.nodes {
		heard, sent = append(heard, n.heard), append(sent, n.sent)
	}
	w.result.Heard, w.result.Sent = trafficOf(heard, seconds), trafficOf(sent, seconds)
}

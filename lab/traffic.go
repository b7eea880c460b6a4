package lab

import "slices"

// Traffic is what nodes tell each other, in datagrams a second at the middle node and at the
// busiest.
type Traffic struct{ Median, Max float64 }

// newTraffic sums up counts of nodes over a time in seconds.
func newTraffic(counts []int, seconds float64) Traffic {
	if len(counts) == 0 || seconds <= 0 {
		return Traffic{}
	}
	slices.Sort(counts)
	return Traffic{Median: float64(counts[len(counts)/2]) / seconds, Max: float64(counts[len(counts)-1]) / seconds}
}

// resetTraffic begins to count what nodes tell each other.
func (w *world) resetTraffic() {
	for _, n := range w.nodes {
		n.received, n.sent = 0, 0
	}
}

// recordTraffic notes what they have told each other since, for a time in seconds.
func (w *world) recordTraffic(seconds float64) {
	var heard, sent []int
	for _, n := range w.nodes {
		heard, sent = append(heard, n.received), append(sent, n.sent)
	}
	w.result.Received, w.result.Sent = newTraffic(heard, seconds), newTraffic(sent, seconds)
}

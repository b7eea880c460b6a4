package lab

import "slices"

// Traffic holds the rates of datagrams at the median and at the busiest node, per second.
type Traffic struct{ Median, Max float64 }

// newTraffic computes the rates from the counts of all nodes over a time in seconds.
func newTraffic(counts []int, seconds float64) Traffic {
	if len(counts) == 0 || seconds <= 0 {
		return Traffic{}
	}
	slices.Sort(counts)
	return Traffic{Median: float64(counts[len(counts)/2]) / seconds, Max: float64(counts[len(counts)-1]) / seconds}
}

// resetTraffic resets the datagram counts of all nodes.
func (w *world) resetTraffic() {
	for _, n := range w.nodes {
		n.received, n.sent = 0, 0
	}
}

// recordTraffic stores the rates since resetTraffic, which was called the given seconds ago.
func (w *world) recordTraffic(seconds float64) {
	var received, sent []int
	for _, n := range w.nodes {
		received, sent = append(received, n.received), append(sent, n.sent)
	}
	w.result.Received, w.result.Sent = newTraffic(received, seconds), newTraffic(sent, seconds)
}

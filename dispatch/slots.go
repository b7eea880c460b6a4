package dispatch

const (
	// chargedSlotShare is the share of an engine's slots above which beginning a stream there has
	// a cost. The usage of other nodes is known 0.3 s late; at 70 streams per second that is a
	// tenth of 192 slots.
	chargedSlotShare = 0.8
	// fullSlotsCost is the cost of beginning a stream on an engine whose slots are all taken, in
	// ms per token; the cost rises further with each waiting stream. It outweighs a hop to
	// another data centre: on an engine that ends 60 streams per second, a stream that waits for
	// a slot exceeds its latency objective after some 20 in front of it.
	fullSlotsCost = 25.0
)

// slotCost returns the cost of beginning a stream on an engine whose slots are nearly taken. An
// engine executes a bounded number of the streams that begin on it, however much memory is free;
// further ones wait in its queue and are then refused.
func (m *Model) slotCost(u *upstream) float64 {
	if u.entry.Slots == 0 {
		return 0
	}
	taken := float64(u.inFlight+m.estimatedPeerUse(u).Streams) / float64(u.entry.Slots)
	return fullSlotsCost * max(0, taken-chargedSlotShare) / (1 - chargedSlotShare)
}

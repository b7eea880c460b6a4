package dispatch

const (
	// chargedSlotShare is the part of an engine's slots from which it costs something to begin a
	// stream there. What other nodes have begun is known 0.3 s late: at 70 streams a second
	// that is a tenth of 192 slots.
	chargedSlotShare = 0.8
	// fullSlotsCost is that cost where all slots are taken, in ms for each token; it goes on
	// rising beyond. It outweighs a crossing: a stream that waits for a slot of an engine
	// that ends 60 streams a second is late after some 20 in front of it.
	fullSlotsCost = 25.0
)

// slotCost speaks against beginning a stream at an engine whose slots are taken. It works
// on a bounded number of the streams that begin there, however much memory it has left;
// further ones wait in its queue, and are then refused.
func (m *Model) slotCost(u *upstream) float64 {
	if u.entry.Slots == 0 {
		return 0
	}
	taken := float64(u.inFlight+m.estimatedPeerUse(u).Streams) / float64(u.entry.Slots)
	return fullSlotsCost * max(0, taken-chargedSlotShare) / (1 - chargedSlotShare)
}

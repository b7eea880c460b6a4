package once

// State is the state of a sequence number in a Ledger.
type State uint8

const (
	// NotBegun means that the number was issued and may begin.
	NotBegun State = iota
	// Begun means that the number has begun and may not begin again.
	Begun
	// Evicted means that the number was dropped from the ledger. Whether it had begun
	// is not known, and it may not begin.
	Evicted
	// NeverIssued means that this incarnation has not issued the number.
	NeverIssued
)

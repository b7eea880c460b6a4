package once

// State is what a Ledger knows of a sequence number.
type State uint8

const (
	// NotBegun means that it has not begun and may.
	NotBegun State = iota
	// Begun means that it has begun and may not again.
	Begun
	// Evicted means that it is too old to tell. It may not begin.
	Evicted
	// NeverIssued means that this incarnation did not give it out.
	NeverIssued
)

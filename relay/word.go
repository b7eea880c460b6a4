package relay

import "github.com/hoistjunction/hoistjunction/clock"

// Word is what an upstream says of itself beside its answer, whatever the answer is.
type Word struct {
	// Rest is for how long it wants no request from this node; zero where it asks for none.
	Rest clock.Millis
	// Leaving tells that it is about to end.
	Leaving bool
	// Unread is what it has said of that and what cannot be read; empty for nothing.
	Unread string
}

// IsZero tells whether it has said nothing.
func (w Word) IsZero() bool { return w == Word{} }

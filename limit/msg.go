package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Named is what is known of the limit that an upstream names.
type Named struct {
	// Rate is in requests a second from all nodes together; zero once it names none.
	Rate float64
	// ReceivedAt is when it was heard, by the clock of whoever knows it.
	ReceivedAt clock.Millis
}

// Ask is a node's question for permits.
type Ask struct {
	Upstream fleet.Incarnation
	// Life is drawn by the node at its start, and Number counts its questions. A question
	// that is asked again has the number that it had, and is answered alike.
	Life   uint64
	Number uint64
	// Want is how many permits it has use for. None asks only whether the owner is there.
	Want int
	// Named is what the node knows of the limit. At is an age on the wire.
	Named Named
	// Sent are requests in the window that whoever is asked has given no permit for, by
	// their age in steps.
	Sent []uint32
}

// Grant answers an Ask.
type Grant struct {
	Upstream fleet.Incarnation
	Life     uint64
	Number   uint64
	Permits  int
	// NextIn is how long it takes until another permit may be had.
	NextIn clock.Millis
	// Queue is how many permits were wanted in the window and not given.
	Queue int
	// Named is what the owner knows of the limit.
	Named Named
}

// AskCmd sends a question to a node.
type AskCmd struct {
	To  string
	Ask Ask
}

// Member is a node.
type Member struct {
	Name       string
	DataCentre string
}

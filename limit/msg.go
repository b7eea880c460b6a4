package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Named is the limit that an upstream advertises in its response headers.
type Named struct {
	// Rate is in requests a second from all nodes together; zero if the upstream advertises no
	// limit.
	Rate float64
	// ReceivedAt is when a node received it from the upstream, in the local clock of the node
	// that holds this value.
	ReceivedAt clock.Millis
}

// Ask requests permits for an upstream from the node that grants them.
type Ask struct {
	Upstream fleet.Incarnation
	// Life is a random number that the node draws at each start. Number counts its requests. A
	// request that is resent keeps its number and gets the same grant.
	Life   uint64
	Number uint64
	// Want is how many permits the node can use. With zero, the request only probes whether
	// the recipient is running, or reports sent requests.
	Want int
	// Named is the sender's view of the limit. On the wire, ReceivedAt is sent as an age.
	Named Named
	// Sent counts the requests in the window for which the recipient granted no permit,
	// by bucket, newest first.
	Sent []uint32
}

// Grant answers an Ask.
type Grant struct {
	Upstream fleet.Incarnation
	Life     uint64
	Number   uint64
	Permits  int
	// NextIn is the time until the next permit is available.
	NextIn clock.Millis
	// Queue is how many permits were requested in the window and not granted.
	Queue int
	// Named is the granter's view of the limit.
	Named Named
}

// AskCmd sends a permit request to a node.
type AskCmd struct {
	To  string
	Ask Ask
}

// Member is a node that may grant permits.
type Member struct {
	Name       string
	DataCentre string
}

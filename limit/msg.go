package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Advertised is the limit that an upstream advertises in its response headers.
type Advertised struct {
	// Rate is in requests a second from all nodes together; zero if the upstream advertises no
	// limit.
	Rate float64
	// ReceivedAt is when a node received it from the upstream, in the local clock of the node
	// that holds this value.
	ReceivedAt clock.Millis
}

// PermitRequest requests permits for an upstream from the node that grants them.
type PermitRequest struct {
	Upstream fleet.Incarnation
	// BootID is a random number that the node draws at each start. Seq counts its requests. A
	// request that is resent keeps its number and gets the same grant.
	BootID uint64
	Seq    uint64
	// Permits is how many permits the node can use. With zero, the request only probes whether
	// the recipient is running, or reports sent requests.
	Permits int
	// Advertised is the sender's view of the limit. On the wire, ReceivedAt is sent as an age.
	Advertised Advertised
	// Unpermitted counts the requests in the window for which the recipient granted no permit,
	// by bucket, newest first.
	Unpermitted []uint32
}

// Grant answers a PermitRequest.
type Grant struct {
	Upstream fleet.Incarnation
	BootID   uint64
	Seq      uint64
	Permits  int
	// NextIn is the time until the next permit is available.
	NextIn clock.Millis
	// Denied is how many permits were requested in the window and not granted.
	Denied int
	// Advertised is the granter's view of the limit.
	Advertised Advertised
}

// PermitRequestCmd sends a permit request to a node.
type PermitRequestCmd struct {
	To            string
	PermitRequest PermitRequest
}

// Member is a node that may grant permits.
type Member struct {
	Name       string
	DataCentre string
}

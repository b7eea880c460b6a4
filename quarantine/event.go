package quarantine

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// Event is a change in a Table that other nodes or the log need.
type Event interface{ quarantineEvent() }

// LossEvent is a loss that this node reports to other nodes.
type LossEvent struct {
	Request  work.Request
	Upstream fleet.Incarnation
	// Age is the time since the attempt failed.
	Age clock.Millis
}

// QuarantinedEvent means that a request, or each request with a part, is in quarantine from now on.
type QuarantinedEvent struct {
	Work work.ID
	// Crashed holds the upstreams that probably crashed under the request; empty if they
	// crashed for certain.
	Crashed []fleet.Incarnation
	// Local is set if this node lost the request itself.
	Local bool
}

// ConfirmedEvent means that the upstreams of a request in quarantine have crashed for certain.
type ConfirmedEvent struct {
	Work work.ID
	// Local is set if this node lost the request itself.
	Local bool
}

// ClearedEvent means that an upstream answered a suspected request, or that upstreams answered
// that had probably crashed under it. Local is set if the response came through this node,
// which then notifies the other nodes.
type ClearedEvent struct {
	Work  work.ID
	Local bool
	// WasQuarantined is set if the request has left quarantine. LostLocally is set if this node
	// had lost it itself.
	WasQuarantined bool
	LostLocally    bool
}

// ShareEvent is the share of requests with a part that this node reports to other nodes, since they may
// take the part for the cause of crashes.
type ShareEvent struct {
	Part work.ID
	Share
}

func (ShareEvent) quarantineEvent()       {}
func (LossEvent) quarantineEvent()        {}
func (QuarantinedEvent) quarantineEvent() {}
func (ConfirmedEvent) quarantineEvent()   {}
func (ClearedEvent) quarantineEvent()     {}

package quarantine

import (
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// News is a change in a Table that other nodes or the log need.
type News interface{ quarantineNews() }

// LossNews is a loss that this node reports to other nodes.
type LossNews struct {
	Work     work.ID
	Upstream fleet.Incarnation
}

// QuarantinedNews means that a request is in quarantine from now on.
type QuarantinedNews struct {
	Work work.ID
	// Ended holds the upstreams that probably crashed under the request; empty if they
	// crashed for certain.
	Ended []fleet.Incarnation
	// Local is set if this node lost the request itself.
	Local bool
}

// ConfirmedNews means that the upstreams of a request in quarantine have crashed for certain.
type ConfirmedNews struct {
	Work work.ID
	// Local is set if this node lost the request itself.
	Local bool
}

// ClearedNews means that an upstream answered a suspected request, or that upstreams answered
// that had probably crashed under it. Local is set if the response came through this node,
// which then notifies the other nodes.
type ClearedNews struct {
	Work  work.ID
	Local bool
	// WasQuarantined is set if the request has left quarantine. LostLocally is set if this node
	// had lost it itself.
	WasQuarantined bool
	LostLocally    bool
}

func (LossNews) quarantineNews()        {}
func (QuarantinedNews) quarantineNews() {}
func (ConfirmedNews) quarantineNews()   {}
func (ClearedNews) quarantineNews()     {}

package quarantine

import (
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// News is what follows from what a Table was told.
type News interface{ quarantineNews() }

// LossNews is a loss that this node has found, for other nodes.
type LossNews struct {
	Work     work.ID
	Upstream fleet.Incarnation
}

// QuarantinedNews tells that a work is quarantined from now on.
type QuarantinedNews struct {
	Work work.ID
	// Ended are the upstreams that are thought to have ended under it; none where that
	// is certain.
	Ended []fleet.Incarnation
	// Local is set where this node has lost it itself.
	Local bool
}

// ConfirmedNews tells that the upstreams have ended for certain under a work in quarantine.
type ConfirmedNews struct {
	Work work.ID
	// Local is set where this node has lost it itself.
	Local bool
}

// ClearedNews tells that an upstream has answered a work under suspicion, or that those
// answer that were thought to have ended under it. Own is set where
// this node has found it, so that others are to be told.
type ClearedNews struct {
	Work  work.ID
	Local bool
	// WasQuarantined tells that it was quarantined, and is no longer, and Lost that this node had
	// lost it itself.
	WasQuarantined bool
	LostLocally    bool
}

func (LossNews) quarantineNews()        {}
func (QuarantinedNews) quarantineNews() {}
func (ConfirmedNews) quarantineNews()   {}
func (ClearedNews) quarantineNews()     {}

package quarantine

import (
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// News is what follows from what a Table was told.
type News interface{ quarantineNews() }

// LostNews is a loss that this node has found, for other nodes.
type LostNews struct {
	Work     work.ID
	Upstream fleet.Incarnation
}

// HeldNews tells that a work is quarantined from now on.
type HeldNews struct {
	Work work.ID
	// Ended are the upstreams that are thought to have ended under it; none where that
	// is certain.
	Ended []fleet.Incarnation
	// Own is set where this node has lost it itself.
	Own bool
}

// CertainNews tells that the upstreams have ended for certain under a work in quarantine.
type CertainNews struct {
	Work work.ID
	// Own is set where this node has lost it itself.
	Own bool
}

// ClearedNews tells that an upstream has answered a work under suspicion, or that those
// answer that were thought to have ended under it. Own is set where
// this node has found it, so that others are to be told.
type ClearedNews struct {
	Work work.ID
	Own  bool
	// Held tells that it was quarantined, and is no longer, and Lost that this node had
	// lost it itself.
	Held bool
	Lost bool
}

func (LostNews) quarantineNews()    {}
func (HeldNews) quarantineNews()    {}
func (CertainNews) quarantineNews() {}
func (ClearedNews) quarantineNews() {}

// Package peering lets relay nodes help each other out when some of them have
// lost the store.
//
// A node that has not heard from the store for a while asks its peers how
// fresh their configuration is. The answer counts from the moment at which the
// question was sent, so nothing that happens on the way, a frozen process
// included, makes the configuration look fresher than it is.
package peering

import (
	"context"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Registry is where nodes leave their addresses for each other.
type Registry interface {
	// Register leaves a node's address, or renews it.
	Register(ctx context.Context, m *wire.Member) error
	// Registrations returns those that can be read, and an error for each that
	// cannot.
	Registrations(ctx context.Context) (list []Registration, unreadable []error, err error)
	// Remove takes registrations away that have not changed since.
	Remove(ctx context.Context, list []Registration) error
}

// Registration is a node's address in the registry.
type Registration struct {
	Member *wire.Member
	// Renewed is when the store was told it last.
	Renewed moment.Moment
}

// LocalState is what a node knows and can tell others.
type LocalState interface {
	// Config returns the configuration in force.
	Config() follow.ActiveConfig
	// Fleet returns the list of upstreams; ok is false while the node cannot
	// vouch for it.
	Fleet() (list []fleet.Upstream, ok bool)
	// Listed tells whether the node knows any list of upstreams, vouched for or
	// not.
	Listed() bool
	// Quarantined returns the requests that are known to be in quarantine.
	Quarantined() []dispatch.Quarantined
}

// Receiver takes in what a peer has told.
type Receiver interface {
	// LearnConfig takes an edition of the configuration that was the newest at a time, and
	// its text; none where it is the one in force.
	LearnConfig(edition catalog.Edition, raw []byte, confirmed clock.Millis)
	LearnFleet(list []fleet.Upstream)
	// LearnQuarantined takes requests that are in quarantine.
	LearnQuarantined(list []dispatch.Quarantined)
	// LearnMembers takes the other nodes that are known, and this node's rank
	// among all by name.
	LearnMembers(others []*wire.Member, rank int)
}

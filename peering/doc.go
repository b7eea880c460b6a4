// Package peering lets nodes that lost the store get the configuration and the list of
// upstreams from their peers, and maintains the registry of nodes.
//
// A node that has not reached the store for a while asks its peers how fresh their
// configuration is. The age in an answer counts from the time at which the request was sent.
// Delays on the way, such as a frozen process, therefore never make the configuration look
// fresher than it is.
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

// Registry stores the addresses of nodes, so that they find each other.
type Registry interface {
	// Register writes a node's registration, or renews it.
	Register(ctx context.Context, m *wire.Member) error
	// Registrations reads all registrations.
	Registrations(ctx context.Context) (RegistryReading, error)
	// Remove deletes registrations, except those that have changed since they were read.
	Remove(ctx context.Context, list []Registration) error
}

// RegistryReading is a complete reading of the registry.
type RegistryReading struct {
	// List holds the readable registrations, and Unreadable an error for each other one.
	List       []Registration
	Unreadable []error
	// AsOf is the moment of the store at which the registry was read.
	AsOf moment.Moment
}

// Registration is a node's entry in the registry.
type Registration struct {
	Member *wire.Member
	// Renewed is the moment of the store at which the entry was last written.
	Renewed moment.Moment
}

// LocalState provides the state of this node that peers may ask for.
type LocalState interface {
	// Config returns the active configuration.
	Config() follow.ActiveConfig
	// Fleet returns the list of upstreams; ok is false while it may be outdated.
	Fleet() (list []fleet.Upstream, ok bool)
	// HasList reports whether the node has a list of upstreams, even an outdated one.
	HasList() bool
	// Quarantined returns the requests known to be quarantined.
	Quarantined() []dispatch.Quarantined
	// StoreEra returns the begin of the newest known era of the store; the zero moment if none is
	// known.
	StoreEra() moment.Moment
	// ProvenIn returns a moment of the newest era in which the store has shown the active configuration;
	// the zero moment if it has not.
	ProvenIn() moment.Moment
}

// Receiver applies what a peer has sent.
type Receiver interface {
	// ReceiveConfig applies an edition of the configuration, which was the newest one at the time
	// confirmed, and its text. The text is empty if the edition is active already.
	ReceiveConfig(edition catalog.Edition, raw []byte, confirmed clock.Millis)
	// ReceiveFleet applies a list of upstreams.
	ReceiveFleet(list []fleet.Upstream)
	// ReceiveQuarantined adds quarantined requests.
	ReceiveQuarantined(list []dispatch.Quarantined)
	// ReceiveMembers sets the other known nodes, and this node's rank by name among all. As long as
	// complete is false, neither this node nor a peer that has answered has read the registry, and any
	// number of others may be missing.
	ReceiveMembers(others []*wire.Member, rank int, complete bool)
}

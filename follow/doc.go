// Package follow keeps a node's local state of the configuration and of the list of upstreams
// in step with the store.
//
// A follower reads each of the two in full once and then awaits its changes, so the node makes
// one store call per wait and gets a change immediately. If another node of the data centre
// reads the store (package reading), the followers await changes at that node, the reader,
// instead. If the reader fails, they follow the next one. Only if no node can be followed do
// the nodes call the store themselves, one after the other, since every call is expensive and
// hundreds of nodes lose their reader, or the store, at the same moment.
//
// A call without an answer may only mean that its connection is unresponsive, so a follower
// repeats it once on a new connection before it considers the store or the reader unreachable.
// limits.go defines the bounds of all waits and pauses and describes how they add up.
//
// An entry that disappears from the list around a store outage or a store restore may be
// falsely removed. The node holds such an entry, which means that it keeps using it, until its
// grace period (fleet.RemovalGrace) ends.
package follow

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// ErrFullReadRequired marks errors of calls that cannot return the changes after a moment, so
// that the caller must read everything again.
var ErrFullReadRequired = errors.New("follow: full read required")

// CatalogReading is the result of a call for the configuration. Raw is empty if the call
// returned no newer one.
type CatalogReading struct {
	Raw []byte
	// Written is the moment at which the configuration was written to the store.
	Written moment.Moment
	// AsOf is the moment up to which the store was read.
	AsOf moment.Moment
	// Edition is the active edition of the reader; zero in a reading of the store.
	Edition catalog.Edition
	// Age is how long before the sending of the call the edition was proven to be the newest; 0
	// in a reading of the store. AnsweredAge is the same for the store's last answer to the
	// reader.
	Age         clock.Millis
	AnsweredAge clock.Millis
}

// FleetReading is the result of a call for the list of upstreams.
type FleetReading struct {
	Changes []fleet.Change
	// AsOf is the moment up to which the store was read.
	AsOf moment.Moment
	// Whole reports that Changes is the full list, so that entries not in it are removed.
	Whole bool
	// Token identifies the full list at the reader; 0 in a reading of the store.
	Token uint64
	// Unreadable holds an error for each entry that cannot be decoded.
	Unreadable []error
}

// CatalogSource reads the configuration from the store.
type CatalogSource interface {
	ReadCatalog(ctx context.Context) (CatalogReading, error)
	AwaitCatalog(ctx context.Context, after moment.Moment, wait clock.Millis) (CatalogReading, error)
	DecodeCatalog(raw []byte, written moment.Moment) (*catalog.Catalog, error)
}

// FleetSource reads the list of upstreams from the store.
type FleetSource interface {
	ReadUpstreams(ctx context.Context) (FleetReading, error)
	AwaitUpstreams(ctx context.Context, after moment.Moment, wait clock.Millis) (FleetReading, error)
}

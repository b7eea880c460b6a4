// Package follow keeps a node's picture of the configuration and of the list
// of upstreams in step with the store.
//
// Each of the two is read whole once, and its changes are awaited from then
// on, so the store is asked about once in the time of a wait and tells of a
// change at once. What is known is passed on as messages. Where another node of
// the data centre reads the store (package reading), its word is awaited
// instead. When that node fails the next one is followed, and only where there is
// none the nodes try the store themselves, one after the other: every call to it
// costs, and hundreds of nodes lose their reader, or the store, at the same moment.
//
// A call without an answer says first that its connection may be silent: it is made once
// more, on a new one, before anybody is taken to be lost. The limits of all waits and
// pauses, and how they add up, stand in limits.go.
package follow

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// ErrFullReadRequired marks the errors of calls that cannot go on from a moment of the store:
// the whole must be read again.
var ErrFullReadRequired = errors.New("follow: read anew")

// CatalogReading is what a call has shown of the configuration. Raw is empty
// where it shows no newer one.
type CatalogReading struct {
	Raw []byte
	// Written is when the store was told the text.
	Written moment.Moment
	// AsOf is up to when the store was read.
	AsOf moment.Moment
	// Edition is what another node has in force. The store names none.
	Edition catalog.Edition
	// Age is how much older than the call's sending the proof is that there is
	// no newer one: nothing for the store, and what another node says of its own.
	// AnsweredAge is the same for the store's last answer to that node.
	Age         clock.Millis
	AnsweredAge clock.Millis
}

// FleetReading is what a call has shown of the list of upstreams.
type FleetReading struct {
	Changes []fleet.Change
	// AsOf is up to when the store was read.
	AsOf moment.Moment
	// Whole tells that the changes are the whole list. What it lacks is gone.
	Whole bool
	// Token is what another node calls the whole list; 0 for what the store tells.
	Token uint64
	// Unreadable holds an error for each entry that cannot be read.
	Unreadable []error
}

// CatalogSource is where the configuration is read.
type CatalogSource interface {
	ReadCatalog(ctx context.Context) (CatalogReading, error)
	AwaitCatalog(ctx context.Context, after moment.Moment, wait clock.Millis) (CatalogReading, error)
	DecodeCatalog(raw []byte, written moment.Moment) (*catalog.Catalog, error)
}

// FleetSource is where the list of upstreams is read.
type FleetSource interface {
	ReadUpstreams(ctx context.Context) (FleetReading, error)
	AwaitUpstreams(ctx context.Context, after moment.Moment, wait clock.Millis) (FleetReading, error)
}

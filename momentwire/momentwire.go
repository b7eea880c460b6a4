// Package momentwire converts store moments and configuration editions to and from node-to-node
// messages.
package momentwire

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Moment returns the message form of a moment.
func Moment(m moment.Moment) *wire.Moment {
	era, revision := m.Parts()
	return &wire.Moment{Era: era, Revision: revision}
}

// MomentOf returns the moment in a message; a nil message gives the zero moment.
func MomentOf(msg *wire.Moment) moment.Moment { return moment.At(msg.GetEra(), msg.GetRevision()) }

// Edition returns the message form of an edition.
func Edition(e catalog.Edition) *wire.Edition {
	version, digest, written := e.Parts()
	return &wire.Edition{Version: version, Digest: digest, Written: Moment(written)}
}

// EditionOf returns the edition in a message; a nil message gives the zero edition.
func EditionOf(msg *wire.Edition) catalog.Edition {
	return catalog.EditionFromParts(msg.GetVersion(), msg.GetDigest(), MomentOf(msg.GetWritten()))
}

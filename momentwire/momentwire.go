// Package momentwire translates what nodes tell each other of moments of the store and of
// texts of the configuration.
package momentwire

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Moment returns a moment in the form in which nodes tell each other of it.
func Moment(m moment.Moment) *wire.Moment {
	era, revision := m.Parts()
	return &wire.Moment{Era: era, Revision: revision}
}

// MomentOf is the reverse of Moment; the zero moment for none.
func MomentOf(told *wire.Moment) moment.Moment { return moment.At(told.GetEra(), told.GetRevision()) }

// Edition returns an edition in the form in which nodes tell each other of it.
func Edition(e catalog.Edition) *wire.Edition {
	version, digest, written := e.Parts()
	return &wire.Edition{Version: version, Digest: digest, Written: Moment(written)}
}

// EditionOf is the reverse of Edition; the zero edition for none.
func EditionOf(told *wire.Edition) catalog.Edition {
	return catalog.EditionFromParts(told.GetVersion(), told.GetDigest(), MomentOf(told.GetWritten()))
}

package catalog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/moment"
)

// Edition identifies one text of the configuration. Editions are ordered by the operator's
// version number; if two texts have the same number, by the moment of the store at which they
// were written. The zero value means none.
//
// What the store shows later is not always newer: after a restore from a backup it shows an
// older text for a while. A confirmed edition is therefore only replaced by one that supersedes
// it.
type Edition struct {
	version uint64
	written moment.Moment
	digest  uint64
}

// NewEdition returns the edition of a text that was written at a moment.
func NewEdition(version uint64, text []byte, written moment.Moment) Edition {
	return EditionFromParts(version, xxhash.Sum64(text), written)
}

// EditionFromParts returns an edition from its parts, to decode messages.
func EditionFromParts(version, digest uint64, written moment.Moment) Edition {
	return Edition{version: version, written: written, digest: digest}
}

// Parts returns the arguments for EditionFromParts, to encode messages.
func (e Edition) Parts() (version, digest uint64, written moment.Moment) {
	return e.version, e.digest, e.written
}

// String returns the operator's version number, for logs.
func (e Edition) String() string { return strconv.FormatUint(e.version, 10) }

// Written returns the moment of the store at which the text was written.
func (e Edition) Written() moment.Moment { return e.written }

// IsZero reports whether e is the zero value, which means none.
func (e Edition) IsZero() bool { return e == Edition{} }

// SameText reports whether two editions have the same version and text. The text may have been
// written to the store twice, at different moments.
func (e Edition) SameText(other Edition) bool {
	return e.version == other.version && e.digest == other.digest
}

// Supersedes reports whether e is newer than another edition and replaces it.
func (e Edition) Supersedes(other Edition) bool {
	if e.version != other.version {
		return e.version > other.version
	}
	return e.digest != other.digest && e.written.After(other.written)
}

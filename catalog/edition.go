package catalog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/moment"
)

// Edition names one text of the configuration, and is all by which two are told apart and
// put in order: by the operator's version and, where a version was given to two texts, by
// when the store was told them. The zero value names none.
//
// What the store shows later is not always newer: one that has come back from a copy shows
// an older text for a while. An edition that was confirmed once is not given up for that.
type Edition struct {
	version uint64
	written moment.Moment
	digest  uint64
}

// NewEdition returns the edition of a text that was written at a moment.
func NewEdition(version uint64, text []byte, written moment.Moment) Edition {
	return EditionFromParts(version, xxhash.Sum64(text), written)
}

// EditionFromParts returns the edition of a text with a digest, for messages.
func EditionFromParts(version, digest uint64, written moment.Moment) Edition {
	return Edition{version: version, written: written, digest: digest}
}

// Parts returns what EditionFromParts takes, for messages.
func (e Edition) Parts() (version, digest uint64, written moment.Moment) {
	return e.version, e.digest, e.written
}

// String names the edition for logs, by the operator's version.
func (e Edition) String() string { return strconv.FormatUint(e.version, 10) }

// Written returns when the store was told the text.
func (e Edition) Written() moment.Moment { return e.written }

// IsZero tells whether it names none.
func (e Edition) IsZero() bool { return e == Edition{} }

// SameText tells whether two name the same text. The store may have been told it twice.
func (e Edition) SameText(o Edition) bool { return e.version == o.version && e.digest == o.digest }

// Supersedes tells whether the text of this edition takes the place of another one's.
func (e Edition) Supersedes(o Edition) bool {
	if e.version != o.version {
		return e.version > o.version
	}
	return e.digest != o.digest && e.written.After(o.written)
}

// Package moment names moments of a store that may come back from an earlier state of
// itself: it then counts its revisions on from that state, and gives out again those that it
// has lost. A revision alone says nothing of what was read before and after a return, so it
// is only ever carried, and compared, with the era that it belongs to.
//
// Where the store names no era there is one era, and moments are its revisions.
package moment

import (
	"strconv"

	"github.com/hoistjunction/hoistjunction/clock"
)

// MaxBackupAge is how far back a copy may reach that the store comes back from: what was
// written before that is in it.
const MaxBackupAge clock.Millis = 60_000

// Moment is a revision of a store in an era of it. Eras count the returns. The zero value is
// before all that was read.
type Moment struct {
	era      uint64
	revision uint64
}

// At returns a moment. Only who speaks with a store, or with other nodes, makes one.
func At(era, revision uint64) Moment { return Moment{era: era, revision: revision} }

// Parts returns the era and the revision, for messages.
func (m Moment) Parts() (era, revision uint64) { return m.era, m.revision }

// IsZero tells whether it is before all that was read.
func (m Moment) IsZero() bool { return m == Moment{} }

// SameEra tells whether the store has not come back from a copy between two moments.
func (m Moment) SameEra(o Moment) bool { return m.era == o.era }

// After tells whether the store was at this moment later than at another one.
func (m Moment) After(o Moment) bool {
	return m.era > o.era || m.era == o.era && m.revision > o.revision
}

// Latest returns the later of two moments.
func Latest(a, b Moment) Moment {
	if b.After(a) {
		return b
	}
	return a
}

// String names the moment for logs: ERA:REVISION, or the revision where eras are not named.
func (m Moment) String() string {
	revision := strconv.FormatUint(m.revision, 10)
	if m.era == 0 {
		return revision
	}
	return strconv.FormatUint(m.era, 10) + ":" + revision
}

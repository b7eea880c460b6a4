// Package moment orders readings of a store that can be restored from a backup. A restored
// store continues counting revisions from the backup's revision, so it assigns the lost
// revision numbers again. Revisions from before and after a restore are therefore not
// comparable; a Moment pairs a revision with its era, the counter of store restores.
//
// A store that reports no era has the single era 0, in which moments compare by revision alone.
package moment

import (
	"strconv"

	"github.com/hoistjunction/hoistjunction/clock"
)

// MaxBackupAge bounds the age of the backup that the store is restored from: entries written
// earlier than that are in the backup.
const MaxBackupAge clock.Millis = 60_000

// Moment is a revision of the store within an era. The era counts store restores. The zero
// value precedes every reading.
type Moment struct {
	era      uint64
	revision uint64
}

// At returns the moment of a revision in an era. Only packages that exchange messages with the
// store or with other nodes may call it.
func At(era, revision uint64) Moment { return Moment{era: era, revision: revision} }

// Parts returns the era and the revision for encoding in messages.
func (m Moment) Parts() (era, revision uint64) { return m.era, m.revision }

// IsZero reports whether m is the zero moment, which precedes every reading.
func (m Moment) IsZero() bool { return m == Moment{} }

// SameEra reports whether no store restore happened between m and o.
func (m Moment) SameEra(o Moment) bool { return m.era == o.era }

// InLaterEra reports whether a store restore happened between o and a later m.
func (m Moment) InLaterEra(o Moment) bool { return m.era > o.era }

// After reports whether m is later than o: in a later era, or in the same era with a higher
// revision.
func (m Moment) After(o Moment) bool {
	return m.era > o.era || m.era == o.era && m.revision > o.revision
}

// firstEra is the number of the era of a store that has never been restored.
const firstEra = 1

// AfterFirstEra reports whether the store has been restored at least once before m.
func (m Moment) AfterFirstEra() bool { return m.era > firstEra }

// Latest returns the later of a and b.
func Latest(a, b Moment) Moment {
	if b.After(a) {
		return b
	}
	return a
}

// String formats the moment for logs as ERA:REVISION, or as REVISION if the era is 0.
func (m Moment) String() string {
	revision := strconv.FormatUint(m.revision, 10)
	if m.era == 0 {
		return revision
	}
	return strconv.FormatUint(m.era, 10) + ":" + revision
}

package fleet

import (
	"cmp"
	"strconv"
)

// ID is what an upstream is called. It may start again under the same ID, so an ID alone
// says nothing of what a process holds, has run or has open: all that hangs on an
// Incarnation.
type ID string

// StartTime is when an upstream's process started, in ms since 1970 by its own clock; zero
// where upstreams do not tell. It is only ever compared with other starts under its ID.
type StartTime int64

// Incarnation is one run of an upstream's process, between a start and its end. It is the
// only key by which anything is known of an upstream, so nothing of an earlier run can be
// taken for the next one's. The zero value is none.
type Incarnation struct {
	id      ID
	started StartTime
}

// NewIncarnation returns the run of an upstream that began at a time.
func NewIncarnation(id ID, born StartTime) Incarnation { return Incarnation{id: id, started: born} }

// IncarnationByID returns the one run of an upstream that does not tell its start, where each
// start has an ID of its own.
func IncarnationByID(id ID) Incarnation { return Incarnation{id: id} }

// ID returns what the upstream is called, which its other runs are too.
func (i Incarnation) ID() ID { return i.id }

// StartedAt returns when the run began.
func (i Incarnation) StartedAt() StartTime { return i.started }

// IsZero tells whether it is none.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// Succeeds tells whether it is a later run of the same upstream.
func (i Incarnation) Succeeds(earlier Incarnation) bool {
	return i.id == earlier.id && i.started > earlier.started
}

// Compare orders incarnations by ID, and those of one upstream by their start.
func (i Incarnation) Compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.id, o.id), cmp.Compare(i.started, o.started))
}

// String names the incarnation for logs: the ID, and the start where it is known.
func (i Incarnation) String() string {
	if i.started == 0 {
		return string(i.id)
	}
	return string(i.id) + "@" + strconv.FormatInt(int64(i.started), 10)
}

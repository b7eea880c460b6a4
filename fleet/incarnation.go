package fleet

import (
	"cmp"
	"strconv"
)

// ID is the name of an upstream. A restarted upstream may keep its ID, so state about a process
// (layers held, requests executed, open connections) is keyed by Incarnation, not by ID.
type ID string

// StartTime is when an upstream's process started, in ms since 1970 by the upstream's clock;
// zero where upstreams do not report it. It may only be compared with other start times of the
// same ID.
type StartTime int64

// maxStartAhead bounds how far a reported start time may lie ahead of the clock that it is checked by. The
// clocks of VMs differ by seconds.
const maxStartAhead StartTime = 24 * 60 * 60 * 1000

// Credible reports whether an upstream may have started at a time, by a clock in ms since 1970.
func (s StartTime) Credible(now int64) bool { return s >= 0 && s <= StartTime(now)+maxStartAhead }

// Incarnation identifies one process of an upstream. All state about upstreams is keyed by it,
// so that state of an earlier process is never applied to a later one. The zero value means
// none.
type Incarnation struct {
	id      ID
	started StartTime
}

// NewIncarnation returns the incarnation of an upstream that started at the given time.
func NewIncarnation(id ID, startedAt StartTime) Incarnation {
	return Incarnation{id: id, started: startedAt}
}

// IncarnationByID returns the incarnation of an upstream that does not report its start time
// and uses a new ID for each start.
func IncarnationByID(id ID) Incarnation { return Incarnation{id: id} }

// ID returns the name of the upstream, which its other incarnations share.
func (i Incarnation) ID() ID { return i.id }

// StartedAt returns when the process started; zero if unknown.
func (i Incarnation) StartedAt() StartTime { return i.started }

// IsZero reports whether i is the zero value, which means none.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// Succeeds reports whether i is a later incarnation of the same upstream.
func (i Incarnation) Succeeds(earlier Incarnation) bool {
	return i.id == earlier.id && i.started > earlier.started
}

// Compare orders incarnations by ID, then by start time.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.id, other.id), cmp.Compare(i.started, other.started))
}

// String formats the incarnation for logs: the ID, followed by the start time if it is known.
func (i Incarnation) String() string {
	if i.started == 0 {
		return string(i.id)
	}
	return string(i.id) + "@" + strconv.FormatInt(int64(i.started), 10)
}

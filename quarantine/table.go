package quarantine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// MostWorks bounds the works that are quarantined, mostSuspects those under suspicion, and
// mostUpstreams the upstreams that are known to have ended under one. Together they take
// less than 2 MB. The one that was asked for or lost least recently gives way.
const (
	MostWorks     = 4096
	mostSuspects  = 2048
	mostUpstreams = 1024
)

// Table is what is known of works and of the upstreams that ended under them. It is not
// safe for concurrent use.
type Table struct {
	// lasts is for how long a work stays quarantined.
	lasts     clock.Millis
	held      *simplelru.LRU[work.ID, *held]
	suspects  *simplelru.LRU[work.ID, *suspect]
	upstreams *simplelru.LRU[fleet.Incarnation, *upstream]
	// contested are works that wait for word of what else was lost where they were.
	contested map[work.ID]bool
}

// held is a work in quarantine.
type held struct {
	since clock.Millis
	ended []fleet.Incarnation
	// own tells that this node has lost it itself, and certain that they have ended: a
	// silent upstream may yet answer.
	own     bool
	certain bool
}

// suspect is a work that was lost.
type suspect struct {
	lost map[fleet.Incarnation]loss
	// lostAt is when it was lost last.
	lostAt clock.Millis
	// answeredAt is when an upstream has answered it last.
	answeredAt clock.Millis
}

// loss is that a work was lost at an upstream.
type loss struct {
	// until is until when the upstream's end counts.
	until clock.Millis
	// explained tells that another work is quarantined for that end.
	explained bool
}

// upstream is one under which works were lost.
type upstream struct {
	fate Fate
	// works are those that were lost there; true for those that this node has lost.
	works map[work.ID]bool
	// blamed is the work that is quarantined for its end, if one is.
	blamed work.ID
}

// New returns an empty table. Works stay quarantined for a time.
func New(lasts clock.Millis) *Table {
	return &Table{
		lasts: lasts, held: newLRU[work.ID, *held](MostWorks), suspects: newLRU[work.ID, *suspect](mostSuspects),
		upstreams: newLRU[fleet.Incarnation, *upstream](mostUpstreams), contested: make(map[work.ID]bool),
	}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		// Only a size below one is refused.
		panic(err)
	}
	return lru
}

// Holds tells whether a work is quarantined, and for how long it stays so.
func (t *Table) Holds(now clock.Millis, w work.ID) (left clock.Millis, ok bool) {
	h, ok := t.held.Get(w)
	if !ok {
		return 0, false
	}
	left = t.lasts - now.Sub(h.since)
	if left <= 0 {
		t.held.Remove(w)
		return 0, false
	}
	return left, true
}

// Certain tells whether it is certain that upstreams have ended under a work in quarantine.
func (t *Table) Certain(w work.ID) bool {
	h, ok := t.held.Peek(w)
	return ok && h.certain
}

// Suspects tells whether an upstream has ended under a work that nothing else explains, and
// none has answered it since.
func (t *Table) Suspects(w work.ID) bool { return len(t.ends(w, false)) > 0 }

func (t *Table) suspect(w work.ID) *suspect {
	s, ok := t.suspects.Get(w)
	if !ok {
		s = &suspect{lost: make(map[fleet.Incarnation]loss), answeredAt: clock.Never}
		t.suspects.Add(w, s)
	}
	return s
}

func (t *Table) upstream(id fleet.Incarnation) *upstream {
	u, ok := t.upstreams.Get(id)
	if !ok {
		u = &upstream{works: make(map[work.ID]bool)}
		t.upstreams.Add(id, u)
	}
	return u
}

// Size is how many suspects and upstreams are known.
func (t *Table) Size() int { return t.suspects.Len() + t.upstreams.Len() }

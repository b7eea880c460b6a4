package quarantine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// MaxQuarantined bounds the works that are quarantined, maxSuspects those under suspicion, and
// maxUpstreams the upstreams that are known to have ended under one. Together they take
// less than 2 MB. The one that was asked for or lost least recently gives way.
const (
	MaxQuarantined = 4096
	maxSuspects    = 2048
	maxUpstreams   = 1024
)

// Table is what is known of works and of the upstreams that ended under them. It is not
// safe for concurrent use.
type Table struct {
	// duration is for how long a work stays quarantined.
	duration    clock.Millis
	quarantined *simplelru.LRU[work.ID, *quarantineEntry]
	suspects    *simplelru.LRU[work.ID, *suspect]
	upstreams   *simplelru.LRU[fleet.Incarnation, *upstream]
	// deferred are works that wait for word of what else was lost where they were.
	deferred map[work.ID]bool
}

// quarantineEntry is a work in quarantine.
type quarantineEntry struct {
	since   clock.Millis
	crashed []fleet.Incarnation
	// local tells that this node has lost it itself, and certain that they have ended: a
	// silent upstream may yet answer.
	local     bool
	confirmed bool
}

// suspect is a work that was lost.
type suspect struct {
	losses map[fleet.Incarnation]loss
	// lastLossAt is when it was lost last.
	lastLossAt clock.Millis
	// answeredAt is when an upstream has answered it last.
	answeredAt clock.Millis
}

// loss is that a work was lost at an upstream.
type loss struct {
	// countsUntil is until when the upstream's end counts.
	countsUntil clock.Millis
	// explained tells that another work is quarantined for that end.
	explained bool
}

// upstream is one under which works were lost.
type upstream struct {
	state UpstreamState
	// lost are those that were lost there; true for those that this node has lost.
	lost map[work.ID]bool
	// culprit is the work that is quarantined for its end, if one is.
	culprit work.ID
}

// New returns an empty table. Works stay quarantined for a time.
func New(lasts clock.Millis) *Table {
	return &Table{
		duration: lasts, quarantined: newLRU[work.ID, *quarantineEntry](MaxQuarantined), suspects: newLRU[work.ID, *suspect](maxSuspects),
		upstreams: newLRU[fleet.Incarnation, *upstream](maxUpstreams), deferred: make(map[work.ID]bool),
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

// Quarantined tells whether a work is quarantined, and for how long it stays so.
func (t *Table) Quarantined(now clock.Millis, w work.ID) (left clock.Millis, ok bool) {
	h, ok := t.quarantined.Get(w)
	if !ok {
		return 0, false
	}
	left = t.duration - now.Sub(h.since)
	if left <= 0 {
		t.quarantined.Remove(w)
		return 0, false
	}
	return left, true
}

// Confirmed tells whether it is certain that upstreams have ended under a work in quarantine.
func (t *Table) Confirmed(w work.ID) bool {
	h, ok := t.quarantined.Peek(w)
	return ok && h.confirmed
}

// IsSuspect tells whether an upstream has ended under a work that nothing else explains, and
// none has answered it since.
func (t *Table) IsSuspect(w work.ID) bool { return len(t.crashes(w, false)) > 0 }

func (t *Table) suspect(w work.ID) *suspect {
	s, ok := t.suspects.Get(w)
	if !ok {
		s = &suspect{losses: make(map[fleet.Incarnation]loss), answeredAt: clock.Never}
		t.suspects.Add(w, s)
	}
	return s
}

func (t *Table) upstream(id fleet.Incarnation) *upstream {
	u, ok := t.upstreams.Get(id)
	if !ok {
		u = &upstream{lost: make(map[work.ID]bool)}
		t.upstreams.Add(id, u)
	}
	return u
}

// Size is how many suspects and upstreams are known.
func (t *Table) Size() int { return t.suspects.Len() + t.upstreams.Len() }

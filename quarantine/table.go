package quarantine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// MaxQuarantined bounds the requests in quarantine, maxSuspects the suspected requests, and
// maxUpstreams the upstreams at which requests were lost. Together they take less than 2 MB.
// The least recently used entry is evicted.
const (
	MaxQuarantined = 4096
	maxSuspects    = 2048
	maxUpstreams   = 1024
)

// Table tracks request losses, the upstreams at which they happened, and the requests and parts of
// prompts in quarantine. It is not safe for concurrent use.
type Table struct {
	// duration is how long a request or a part stays in quarantine.
	duration    clock.Millis
	quarantined *simplelru.LRU[work.ID, *quarantineEntry]
	suspects    *simplelru.LRU[work.ID, *suspect]
	upstreams   *simplelru.LRU[fleet.Incarnation, *upstream]
	// deferred holds the requests whose evaluation waits for reports of other losses at the
	// same upstreams.
	deferred map[work.ID]bool
	answers  answers
}

// quarantineEntry is a request or a part in quarantine.
type quarantineEntry struct {
	since   clock.Millis
	crashed []fleet.Incarnation
	// local is set if this node lost the request itself. confirmed is set once the upstreams
	// have crashed for certain; before that, an unresponsive one may still answer.
	local     bool
	confirmed bool
}

// suspect is a request that was lost, or a part of one.
type suspect struct {
	losses map[fleet.Incarnation]loss
	// lastLossAt is when the request, or one with the part, was last lost.
	lastLossAt clock.Millis
	// answeredAt is when an upstream last answered it.
	answeredAt clock.Millis
	// peerShare is the largest share of requests with the part that another node has reported, and
	// shareReportedAt when this node or another one last reported one.
	peerShare       float64
	shareReportedAt clock.Millis
	// contested is set if other nodes have the part in quarantine and this one has refused that.
	contested bool
}

// loss is the loss of a request, or of one with a part, at an upstream.
type loss struct {
	recordedAt clock.Millis
	// countsUntil is the time until which a crash of the upstream counts against the request.
	countsUntil clock.Millis
	// explained is set if another request is quarantined for that crash.
	explained bool
}

// upstream is an upstream at which requests were lost.
type upstream struct {
	state UpstreamState
	// foundAt is when the upstream was first found to be unresponsive or to have crashed.
	foundAt clock.Millis
	// lost holds the requests that were lost at the upstream, by their content, or by a part where
	// no more is known.
	lost map[work.ID]lostRequest
	// culprit is the request or the part that is quarantined for the upstream's crash; zero if there
	// is none.
	culprit work.ID
}

// lostRequest is a request that was lost at an upstream.
type lostRequest struct {
	request work.Request
	lostAt  clock.Millis
	// local is set if this node lost it.
	local bool
}

// New returns an empty table. Requests stay in quarantine for the duration.
func New(duration clock.Millis) *Table {
	return &Table{
		duration: duration, quarantined: newLRU[work.ID, *quarantineEntry](MaxQuarantined), suspects: newLRU[work.ID, *suspect](maxSuspects),
		upstreams: newLRU[fleet.Incarnation, *upstream](maxUpstreams), deferred: make(map[work.ID]bool),
		answers: newAnswers(),
	}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		// NewLRU only fails for a size below one.
		panic(err)
	}
	return lru
}

// QuarantinedBy returns the ID for which a request is in quarantine, its own or that of a part, and
// how long it remains there.
func (t *Table) QuarantinedBy(now clock.Millis, r work.Request) (by work.ID, left clock.Millis, ok bool) {
	if t.quarantined.Len() == 0 {
		return work.ID{}, 0, false
	}
	if left, ok := t.Quarantined(now, r.Content); ok {
		return r.Content, left, true
	}
	for _, part := range r.Parts {
		if left, ok := t.Quarantined(now, part); ok {
			return part, left, true
		}
	}
	return work.ID{}, 0, false
}

// Quarantined reports whether a request or a part is in quarantine, and how long it remains there.
func (t *Table) Quarantined(now clock.Millis, w work.ID) (left clock.Millis, ok bool) {
	q, ok := t.quarantined.Get(w)
	if !ok {
		return 0, false
	}
	left = t.duration - now.Sub(q.since)
	if left <= 0 {
		t.quarantined.Remove(w)
		return 0, false
	}
	return left, true
}

// Confirmed reports whether a request or a part is in quarantine for upstreams that crashed for certain.
func (t *Table) Confirmed(w work.ID) bool {
	q, ok := t.quarantined.Peek(w)
	return ok && q.confirmed
}

// Suspect returns the ID for which a request is suspected of crashing upstreams. That is a part with
// considerable evidence against it, or else the request itself, if an upstream crashed under it, no
// other request explains the crash, and no upstream has answered the request since.
func (t *Table) Suspect(r work.Request) (id work.ID, ok bool) {
	if t.suspects.Len() == 0 {
		return work.ID{}, false
	}
	strongest := 0.0
	for _, part := range r.Parts {
		if c := t.partClaim(part); c.suspicious() && c.nats > strongest {
			id, strongest = part, c.nats
		}
	}
	if strongest > 0 {
		return id, true
	}
	if !t.IsSuspect(r.Content) {
		return work.ID{}, false
	}
	return r.Content, true
}

// partClaim returns the claim against a part by the crashes that nothing else explains.
func (t *Table) partClaim(part work.ID) claim {
	if s, ok := t.suspects.Peek(part); !ok || len(s.losses) < 2 {
		return claim{}
	}
	return t.claim(part, t.crashes(part, false))
}

// IsSuspect reports whether an upstream crashed under a request or a part, nothing else explains the
// crash, and no upstream has answered it since.
func (t *Table) IsSuspect(w work.ID) bool { return len(t.crashes(w, false)) > 0 }

func (t *Table) suspect(w work.ID) *suspect {
	s, ok := t.suspects.Get(w)
	if !ok {
		s = &suspect{losses: make(map[fleet.Incarnation]loss), answeredAt: clock.Never, shareReportedAt: clock.Never}
		t.suspects.Add(w, s)
	}
	return s
}

func (t *Table) upstream(id fleet.Incarnation) *upstream {
	u, ok := t.upstreams.Get(id)
	if !ok {
		u = &upstream{lost: make(map[work.ID]lostRequest)}
		t.upstreams.Add(id, u)
	}
	return u
}

// Size returns the number of stored suspects and upstreams.
func (t *Table) Size() int { return t.suspects.Len() + t.upstreams.Len() }

// Package member tracks the other entry nodes by gossip: which of them are live, which version
// of the configuration each has active, and which peers to contact next.
//
// In each round a node sends its records to a few others, drawn at random. An update reaches
// all n nodes in about log n rounds, at a cost for each node that does not grow with n (Demers
// and others, 1987).
package member

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Defaults of a Table.
const (
	// DefaultFanout is the number of peers contacted in each round.
	DefaultFanout = 3
	// DefaultDigestSize is the number of records of other nodes in a heartbeat.
	DefaultDigestSize = 8
	// DefaultExpiry is how long after its last update a node is removed.
	DefaultExpiry clock.Millis = 120_000
	// DefaultLiveness is how long after its last update a node counts as live.
	DefaultLiveness clock.Millis = 5_000
)

// Table holds the known peers. It is not safe for concurrent use.
type Table struct {
	self       *wire.NodeRecord
	peers      []*Peer
	fanout     int
	digestSize int
	expiry     clock.Millis
	liveness   clock.Millis
	marks      []leavingMark
}

// Option configures a Table.
type Option func(*Table)

// WithFanout sets the number of peers contacted in each round.
func WithFanout(n int) Option { return func(t *Table) { t.fanout = n } }

// New returns a Table without peers.
func New(self *wire.NodeRecord, opts ...Option) *Table {
	t := &Table{
		self:       self,
		fanout:     DefaultFanout,
		digestSize: DefaultDigestSize,
		expiry:     DefaultExpiry,
		liveness:   DefaultLiveness,
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Self returns the node's own record.
func (t *Table) Self() *wire.NodeRecord { return t.self }

// Len returns the number of other nodes known.
func (t *Table) Len() int { return len(t.peers) }

// Peers returns the other nodes, ordered by name.
func (t *Table) Peers() []*Peer { return t.peers }

// LiveNodes returns the number of live nodes, including this one.
func (t *Table) LiveNodes(now clock.Millis) int {
	n := 1
	for _, p := range t.peers {
		if now.Sub(p.lastSeen) <= t.liveness {
			n++
		}
	}
	return n
}

// Owner returns the node that owns the keys of an incarnation: the node that they were handed
// over to, or else the node that has the incarnation; nil if there is none.
func (t *Table) Owner(incarnation uint64) *Peer {
	var current *Peer
	for _, p := range t.peers {
		if slices.Contains(p.record.GetInherits(), incarnation) {
			return p
		}
		if p.record.GetIncarnation() == incarnation {
			current = p
		}
	}
	return current
}

// Successor draws a node to hand keys over to: one that is live and not draining; nil if there
// is none.
func (t *Table) Successor(now clock.Millis, rng *rand.Rand) *Peer {
	var candidates []*Peer
	for _, p := range t.peers {
		if now.Sub(p.lastSeen) <= t.liveness && !p.record.GetDraining() {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rng.IntN(len(candidates))]
}

// Update applies a record of another node if it is newer than the known one: a later beat of
// the same incarnation, or an incarnation that started later.
func (t *Table) Update(now clock.Millis, r *wire.NodeRecord) {
	if r.GetName() == "" || r.GetName() == t.self.GetName() {
		return
	}
	at, found := slices.BinarySearchFunc(t.peers, r.GetName(), func(p *Peer, name string) int {
		return strings.Compare(p.record.GetName(), name)
	})
	if !found {
		t.peers = slices.Insert(t.peers, at, &Peer{record: r, lastSeen: now})
		return
	}
	t.peers[at].update(now, r)
}

// GossipTargets draws the peers to contact in this round.
func (t *Table) GossipTargets(rng *rand.Rand) []*Peer {
	return draw(t.peers, t.fanout, rng)
}

// Digest draws records of other nodes to send with a heartbeat.
func (t *Table) Digest(rng *rand.Rand) []*wire.NodeRecord {
	var records []*wire.NodeRecord
	for _, p := range draw(t.peers, t.digestSize, rng) {
		records = append(records, p.record)
	}
	return records
}

// Expire removes nodes without a recent update, and expired leaving marks.
func (t *Table) Expire(now clock.Millis) {
	t.peers = slices.DeleteFunc(t.peers, func(p *Peer) bool { return now.Sub(p.lastSeen) > t.expiry })
	t.marks = slices.DeleteFunc(t.marks, func(m leavingMark) bool { return now.Sub(m.addedAt) > markTTL })
}

// DataCentresWithVersion returns the number of data centres in which some node, possibly this
// one, has a version of the configuration or a later one active.
func (t *Table) DataCentresWithVersion(version uint64) int {
	seen := make(map[string]struct{})
	if t.self.GetVersion() >= version {
		seen[t.self.GetDataCentre()] = struct{}{}
	}
	for _, p := range t.peers {
		if p.record.GetVersion() >= version {
			seen[p.record.GetDataCentre()] = struct{}{}
		}
	}
	return len(seen)
}

// draw returns n distinct items, or all if there are fewer, each selection being equally
// likely.
func draw[T any](items []T, n int, rng *rand.Rand) []T {
	if len(items) <= n {
		return slices.Clone(items)
	}
	drawn := make([]T, 0, n)
	for i, item := range items {
		if rng.IntN(len(items)-i) < n-len(drawn) {
			drawn = append(drawn, item)
		}
	}
	return drawn
}

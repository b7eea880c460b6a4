// Package member knows the other entry nodes: who has been heard of lately,
// which configuration each has in force, and whom to tell next.
//
// Nodes tell a few others, drawn at random, in each round. What one node
// knows reaches all n in about log n rounds, at a cost for each node that does
// not grow with n (Demers and others, 1987).
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
	// DefaultFanout is how many peers are told in a round.
	DefaultFanout = 3
	// DefaultDigestSize is how many records about others go with a heartbeat.
	DefaultDigestSize = 8
	// DefaultExpiry is how long an unheard node is kept.
	DefaultExpiry clock.Millis = 120_000
	// DefaultLiveness is how long a node may be unheard and still be counted
	// as running.
	DefaultLiveness clock.Millis = 5_000
)

// Table holds the peers. It is not safe for concurrent use.
type Table struct {
	self       *wire.NodeRecord
	peers      []*Peer
	fanout     int
	digestSize int
	expiry     clock.Millis
	liveness   clock.Millis
	marks      []leavingMark
}

// Option sets up a Table.
type Option func(*Table)

// WithFanout sets how many peers are told in a round.
func WithFanout(n int) Option { return func(t *Table) { t.fanout = n } }

// New returns a table that knows only the node itself.
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

// Peers returns the other nodes in the order of their names.
func (t *Table) Peers() []*Peer { return t.peers }

// LiveNodes returns how many nodes have been heard of lately, this one included.
func (t *Table) LiveNodes(now clock.Millis) int {
	n := 1
	for _, p := range t.peers {
		if now.Sub(p.lastSeen) <= t.liveness {
			n++
		}
	}
	return n
}

// Owner returns the node that owns an incarnation's keys: the one that runs as
// it, or has had them handed over; nil when there is none.
func (t *Table) Owner(incarnation uint64) *Peer {
	var found *Peer
	for _, p := range t.peers {
		if slices.Contains(p.record.GetInherits(), incarnation) {
			return p
		}
		if p.record.GetIncarnation() == incarnation {
			found = p
		}
	}
	return found
}

// Successor draws a node to hand keys over to: one that has been heard of
// lately and does not stop itself; nil when there is none.
func (t *Table) Successor(now clock.Millis, rng *rand.Rand) *Peer {
	var fit []*Peer
	for _, p := range t.peers {
		if now.Sub(p.lastSeen) <= t.liveness && !p.record.GetDraining() {
			fit = append(fit, p)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[rng.IntN(len(fit))]
}

// Update takes in a record about another node. A record counts if it is newer
// than what is known: a later beat of the same incarnation, or another
// incarnation heard from directly or named by the platform's table.
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

// GossipTargets draws the peers to tell in this round.
func (t *Table) GossipTargets(rng *rand.Rand) []*Peer {
	return draw(t.peers, t.fanout, rng)
}

// Digest draws records about other nodes to send along.
func (t *Table) Digest(rng *rand.Rand) []*wire.NodeRecord {
	var records []*wire.NodeRecord
	for _, p := range draw(t.peers, t.digestSize, rng) {
		records = append(records, p.record)
	}
	return records
}

// Expire drops nodes that have not been heard of for long.
func (t *Table) Expire(now clock.Millis) {
	t.peers = slices.DeleteFunc(t.peers, func(p *Peer) bool { return now.Sub(p.lastSeen) > t.expiry })
	t.marks = slices.DeleteFunc(t.marks, func(m leavingMark) bool { return now.Sub(m.addedAt) > markTTL })
}

// DataCentresWithVersion returns the number of data centres in which a node, this one
// included, has a version in force.
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

// draw returns up to n items, each set of them as likely as any other.
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

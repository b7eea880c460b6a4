package reading

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// In a small group every node sends its status to every other a few times a second, so traffic
// grows with the square of the group's size. In a larger group only a few nodes, the hubs,
// exchange statuses with all others; the other nodes, the leaves, exchange theirs with the hubs
// only.
const (
	// maxMeshNodes is the largest group in which all nodes exchange statuses with each other. A
	// node then receives less than a hundred datagrams a second.
	maxMeshNodes = 24
	// hubCount is the number of hubs. Each other node exchanges statuses with every hub. If
	// more than half of the nodes crash at the same moment, at least one hub survives in five
	// of six cases; otherwise the next nodes by rank replace them.
	hubCount = 3
	// maxHubs is the number of hubs while none of them can reach the store, which may reject
	// part of the nodes.
	maxHubs = 6
	// hubTimeout is how long after its last status a hub is replaced by the next node by rank.
	hubTimeout clock.Millis = 1500
)

// CompareRank orders nodes by rank: higher VM capacity first, then by name.
func CompareRank(a, b *wire.Member) int {
	return cmp.Or(cmp.Compare(b.GetStrength(), a.GetStrength()), strings.Compare(a.GetName(), b.GetName()))
}

// updateRanks computes the ranks of the nodes. The caller holds the lock or has exclusive
// access.
func (r *Roster) updateRanks() {
	members := append(slices.Collect(maps.Values(r.group)), r.self)
	slices.SortFunc(members, CompareRank)
	r.ranked, r.ranks = r.ranked[:0], make(map[string]int, len(members))
	for i, m := range members {
		r.ranked = append(r.ranked, m.GetName())
		r.ranks[m.GetName()] = i
	}
}

// BroadcastFanout returns the number of nodes to notify so that a message reaches all nodes of
// a group: every node of a small group; in a large group only the first by rank, which forward
// the message.
func BroadcastFanout(nodes int) int {
	if nodes <= maxMeshNodes {
		return nodes
	}
	return hubCount
}

// fullMesh reports whether all nodes of the group exchange statuses with each other. The caller
// holds the lock.
func (r *Roster) fullMesh() bool { return len(r.ranked) <= maxMeshNodes }

// hubs returns the names of the hubs: the first responsive nodes by rank. If none of the first
// hubCount can be followed, it adds nodes until one can, up to maxHubs and as many as have been
// passed over without ever having sent a status: of hundreds that do not exist, each round then
// passes over twice as many as the one before. The caller holds the lock.
func (r *Roster) hubs(now clock.Millis) []string {
	var hubs []string
	followable, neverHeard := false, 0
	for _, name := range r.ranked {
		if len(hubs) >= maxHubs+neverHeard || len(hubs) >= hubCount && followable {
			break
		}
		if !r.responsive(now, name) {
			if _, heard := r.wasFollowable[name]; !heard {
				neverHeard++
			}
			continue
		}
		hubs = append(hubs, name)
		followable = followable || r.statuses[name].followable || name == r.self.GetName() && !r.storeLost
	}
	return hubs
}

// responsive reports whether a status of the node arrived within hubTimeout. The period for a
// node without a status begins with the first call. The caller holds the lock.
func (r *Roster) responsive(now clock.Millis, name string) bool {
	if name == r.self.GetName() {
		return true
	}
	if _, known := r.lastSeen[name]; !known {
		r.lastSeen[name] = now
	}
	return now <= r.lastSeen[name].Add(r.extend(hubTimeout))
}

// Topology describes the hubs of a group and the role of this node.
type Topology struct {
	// FullMesh reports that there are no hubs and that all nodes exchange statuses with each
	// other.
	FullMesh bool
	// IsHub reports whether this node is a hub; HubIndex is its index among the hubs by rank,
	// from 0.
	IsHub    bool
	HubIndex int
	// Hubs are the other hubs by rank. Leaves are the nodes that are no hubs; only set on a
	// hub.
	Hubs   []*wire.Member
	Leaves []*wire.Member
	// MissingHubs are those of the hubCount highest-ranked nodes that are not responsive. They
	// should get a status now and then: after a restart such a node knows no node that is not
	// registered in the store.
	MissingHubs []*wire.Member
	// PeerCount is the number of other nodes in the group.
	PeerCount int
}

// IsFirstHub reports whether this node is the first hub by rank.
func (t *Topology) IsFirstHub() bool { return t.IsHub && t.HubIndex == 0 }

// Topology returns the current hubs of the group and the role of this node.
func (r *Roster) Topology(now clock.Millis) Topology {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fullMesh() {
		return Topology{FullMesh: true, PeerCount: len(r.group)}
	}
	names := r.hubs(now)
	t := Topology{HubIndex: slices.Index(names, r.self.GetName()), PeerCount: len(r.group)}
	t.IsHub = t.HubIndex >= 0
	for _, name := range names {
		if m := r.group[name]; m != nil {
			t.Hubs = append(t.Hubs, m)
		}
	}
	for _, name := range r.ranked[:hubCount] {
		if !slices.Contains(names, name) {
			t.MissingHubs = append(t.MissingHubs, r.group[name])
		}
	}
	if !t.IsHub {
		return t
	}
	for _, name := range r.ranked {
		if m := r.group[name]; m != nil && !slices.Contains(names, name) {
			t.Leaves = append(t.Leaves, m)
		}
	}
	return t
}

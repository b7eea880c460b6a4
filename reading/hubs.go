package reading

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// In a small group all nodes tell each other of themselves a few times a second, which
// grows with the square of the nodes. In a larger one a few do so with all, the hubs: the
// others tell the hubs alone, and are told by them.
const (
	// maxMeshNodes is how many nodes a group may have in which all tell each other: what a
	// node hears then stays under a hundred datagrams a second.
	maxMeshNodes = 24
	// hubCount is how many hubs there are: each other node tells each of them, and is told by
	// each. Where more than half of the nodes end at the same moment, one of them is left in
	// five of six cases, and otherwise the next by rank take their places.
	hubCount = 3
	// maxHubs is how many there are where none of them has the store, which may turn a part
	// of the nodes away.
	maxHubs = 6
	// hubTimeout is after how long without its word a hub is none any more, and the next node
	// by rank becomes one.
	hubTimeout clock.Millis = 1500
)

// CompareRank orders nodes by their rank for what one does for others: those come first whose
// VMs can do more, and of these the first by name.
func CompareRank(a, b *wire.Member) int {
	return cmp.Or(cmp.Compare(b.GetStrength(), a.GetStrength()), strings.Compare(a.GetName(), b.GetName()))
}

// updateRanks works out the nodes' ranks. The caller holds the lock, or nobody else has the roster.
func (r *Roster) updateRanks() {
	members := append(slices.Collect(maps.Values(r.group)), r.self)
	slices.SortFunc(members, CompareRank)
	r.ranked, r.ranks = r.ranked[:0], make(map[string]int, len(members))
	for i, m := range members {
		r.ranked = append(r.ranked, m.GetName())
		r.ranks[m.GetName()] = i
	}
}

// BroadcastFanout is how many nodes of a group of some nodes are to be told what concerns all of them:
// in a large one the first by rank pass it on.
func BroadcastFanout(nodes int) int {
	if nodes <= maxMeshNodes {
		return nodes
	}
	return hubCount
}

// fullMesh tells whether all nodes of the group tell each other of themselves. The caller
// holds the lock.
func (r *Roster) fullMesh() bool { return len(r.ranked) <= maxMeshNodes }

// hubs returns the names of the hubs by rank: the first nodes that are there. The caller
// holds the lock.
func (r *Roster) hubs(now clock.Millis) []string {
	var hubs []string
	followable := false
	for _, name := range r.ranked {
		if len(hubs) >= maxHubs || len(hubs) >= hubCount && followable {
			break
		}
		if !r.responsive(now, name) {
			continue
		}
		hubs = append(hubs, name)
		followable = followable || r.statuses[name].followable || name == r.self.GetName() && !r.storeLost
	}
	return hubs
}

// responsive tells whether a node has been heard lately, or has not had the time for that
// since it counts as a hub. The caller holds the lock.
func (r *Roster) responsive(now clock.Millis, name string) bool {
	if name == r.self.GetName() {
		return true
	}
	if _, known := r.lastSeen[name]; !known {
		r.lastSeen[name] = now
	}
	return now <= r.lastSeen[name].Add(hubTimeout)
}

// Topology is what a node's place in its group is, and who the hubs are.
type Topology struct {
	// FullMesh tells that there are no hubs: all nodes tell each other.
	FullMesh bool
	// IsHub tells that the node is a hub itself, the one at Place, from 0.
	IsHub    bool
	HubIndex int
	// Hubs are the other hubs by rank, and Leaves, at a hub, the nodes that are none.
	Hubs   []*wire.Member
	Leaves []*wire.Member
	// Absent are the first nodes by rank that have not been heard lately. They are to be told
	// now and then: one that has started again knows of nobody that has not registered.
	Absent []*wire.Member
	// PeerCount is how many other nodes there are.
	PeerCount int
}

// IsFirstHub tells whether the node is the first hub.
func (c *Topology) IsFirstHub() bool { return c.IsHub && c.HubIndex == 0 }

// Topology returns the node's place in the group.
func (r *Roster) Topology(now clock.Millis) Topology {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fullMesh() {
		return Topology{FullMesh: true, PeerCount: len(r.group)}
	}
	names := r.hubs(now)
	c := Topology{HubIndex: slices.Index(names, r.self.GetName()), PeerCount: len(r.group)}
	c.IsHub = c.HubIndex >= 0
	for _, name := range names {
		if m := r.group[name]; m != nil {
			c.Hubs = append(c.Hubs, m)
		}
	}
	for _, name := range r.ranked[:hubCount] {
		if !slices.Contains(names, name) {
			c.Absent = append(c.Absent, r.group[name])
		}
	}
	if !c.IsHub {
		return c
	}
	for _, name := range r.ranked {
		if m := r.group[name]; m != nil && !slices.Contains(names, name) {
			c.Leaves = append(c.Leaves, m)
		}
	}
	return c
}

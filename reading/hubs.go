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
	// mostMeshed is how many nodes a group may have in which all tell each other: what a
	// node hears then stays under a hundred datagrams a second.
	mostMeshed = 24
	// hubCount is how many hubs there are: each other node tells each of them, and is told by
	// each. Where more than half of the nodes end at the same moment, one of them is left in
	// five of six cases, and otherwise the next by rank take their places.
	hubCount = 3
	// mostHubs is how many there are where none of them has the store, which may turn a part
	// of the nodes away.
	mostHubs = 6
	// hubSilent is after how long without its word a hub is none any more, and the next node
	// by rank becomes one.
	hubSilent clock.Millis = 1500
)

// Compare orders nodes by their rank for what one does for others: those come first whose
// VMs can do more, and of these the first by name.
func Compare(a, b *wire.Member) int {
	return cmp.Or(cmp.Compare(b.GetStrength(), a.GetStrength()), strings.Compare(a.GetName(), b.GetName()))
}

// rank works out the nodes' ranks. The caller holds the lock, or nobody else has the roster.
func (r *Roster) rank() {
	members := append(slices.Collect(maps.Values(r.group)), r.self)
	slices.SortFunc(members, Compare)
	r.ranked, r.ranks = r.ranked[:0], make(map[string]int, len(members))
	for i, m := range members {
		r.ranked = append(r.ranked, m.GetName())
		r.ranks[m.GetName()] = i
	}
}

// Told is how many nodes of a group of some nodes are to be told what concerns all of them:
// in a large one the first by rank pass it on.
func Told(nodes int) int {
	if nodes <= mostMeshed {
		return nodes
	}
	return hubCount
}

// meshed tells whether all nodes of the group tell each other of themselves. The caller
// holds the lock.
func (r *Roster) meshed() bool { return len(r.ranked) <= mostMeshed }

// hubs returns the names of the hubs by rank: the first nodes that are there. The caller
// holds the lock.
func (r *Roster) hubs(now clock.Millis) []string {
	var hubs []string
	followable := false
	for _, name := range r.ranked {
		if len(hubs) >= mostHubs || len(hubs) >= hubCount && followable {
			break
		}
		if !r.present(now, name) {
			continue
		}
		hubs = append(hubs, name)
		followable = followable || r.heard[name].followable || name == r.self.GetName() && !r.away
	}
	return hubs
}

// present tells whether a node has been heard lately, or has not had the time for that
// since it counts as a hub. The caller holds the lock.
func (r *Roster) present(now clock.Millis, name string) bool {
	if name == r.self.GetName() {
		return true
	}
	if _, known := r.awaited[name]; !known {
		r.awaited[name] = now
	}
	return now <= r.awaited[name].Add(hubSilent)
}

// Circle is what a node's place in its group is, and who the hubs are.
type Circle struct {
	// Meshed tells that there are no hubs: all nodes tell each other.
	Meshed bool
	// Hub tells that the node is a hub itself, the one at Place, from 0.
	Hub   bool
	Place int
	// Hubs are the other hubs by rank, and Leaves, at a hub, the nodes that are none.
	Hubs   []*wire.Member
	Leaves []*wire.Member
	// Absent are the first nodes by rank that have not been heard lately. They are to be told
	// now and then: one that has started again knows of nobody that has not registered.
	Absent []*wire.Member
	// Others is how many other nodes there are.
	Others int
}

// Leads tells whether the node is the first hub.
func (c *Circle) Leads() bool { return c.Hub && c.Place == 0 }

// Circle returns the node's place in the group.
func (r *Roster) Circle(now clock.Millis) Circle {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meshed() {
		return Circle{Meshed: true, Others: len(r.group)}
	}
	names := r.hubs(now)
	c := Circle{Place: slices.Index(names, r.self.GetName()), Others: len(r.group)}
	c.Hub = c.Place >= 0
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
	if !c.Hub {
		return c
	}
	for _, name := range r.ranked {
		if m := r.group[name]; m != nil && !slices.Contains(names, name) {
			c.Leaves = append(c.Leaves, m)
		}
	}
	return c
}

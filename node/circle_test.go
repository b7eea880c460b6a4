package node

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

// testMembers returns nodes in data centres, one in twenty of which can do more than the others.
func testMembers(centres []string, each int) []*wire.Member {
	var members []*wire.Member
	for _, centre := range centres {
		for i := range each {
			name := fmt.Sprintf("%s-%03d", centre, i)
			m := &wire.Member{Name: name, DataCentre: centre, UsageAddress: name + ":1", Strength: 2}
			if i%20 == 7 {
				m.Strength = 32
			}
			members = append(members, m)
		}
	}
	return members
}

// topologyOf returns the place of a node among others, all of which are there.
func topologyOf(self *wire.Member, others []*wire.Member) reading.Topology {
	r := reading.NewRoster(self, 0, 2000)
	r.SetGroup(membersIn(others, self.GetDataCentre()))
	return r.Topology(0)
}

// What a node sends must not grow with the nodes: with 986 of them each told two hundred
// others, and an order or a lost request was told to all, three times.
func TestWhatANodeTellsDoesNotGrow(t *testing.T) {
	centres := []string{"a", "b", "c", "d", "e"}
	for _, each := range []int{30, 100, 200, 400} {
		others := testMembers(centres, each)
		self := others[each-1]
		others = slices.Delete(others, each-1, each)
		circle := topologyOf(self, others)
		r := hubRecipients(&circle, others, "a")
		if circle.FullMesh || circle.IsHub {
			t.Fatalf("%d nodes a data centre: got %+v, want a leaf", each, circle)
		}
		told := map[string]int{"use": len(r.Usage), "orders": len(r.Placements), "silences": len(r.Unresponsive), "works": len(r.Outcomes), "leaves": len(r.Leaves)}
		for what, got := range told {
			if want := 40; got > want {
				t.Errorf("%d nodes a data centre: got %d addresses for %s, want %d at most", each, got, what, want)
			}
		}
	}
}

// What any node tells all must reach all: its hubs pass it on, and so do those of other data
// centres.
func TestAllAreReachedThroughHubs(t *testing.T) {
	members := testMembers([]string{"a", "b"}, 60)
	routes := make(map[string]func() []string)
	passes := make(map[string][]string)
	for i, m := range members {
		others := slices.Delete(slices.Clone(members), i, i+1)
		circle := topologyOf(m, others)
		r := hubRecipients(&circle, others, m.GetDataCentre())
		routes[m.GetUsageAddress()] = func() []string { return r.Outcomes }
		passes[m.GetUsageAddress()] = r.Forward
	}
	for _, m := range members {
		reached := make(map[string]bool)
		for _, first := range routes[m.GetUsageAddress()]() {
			reached[first] = true
			for _, second := range passes[first] {
				reached[second] = true
			}
		}
		reached[m.GetUsageAddress()] = true
		if got, want := len(reached), len(members); got != want {
			t.Fatalf("%s: got %d nodes reached, want %d", m.GetName(), got, want)
		}
	}
}

// Nodes agree on who may own a limit, whatever else they know.
func TestOwnersAreTheSameEverywhere(t *testing.T) {
	members := testMembers([]string{"a", "b"}, 60)
	want := limitOwnerCandidates(broadcastTargets(members))
	// A leaf knows some of its own data centre, and a hub all.
	some := slices.DeleteFunc(slices.Clone(members), func(m *wire.Member) bool {
		return m.GetStrength() < 32 && m.GetName()[2:] > "030"
	})
	if got := limitOwnerCandidates(broadcastTargets(some)); !slices.Equal(got, want) {
		t.Errorf("got owners %v, want %v", got, want)
	}
}

func TestStrength(t *testing.T) {
	tests := []struct {
		share, mbps float64
		cores       int
		want        uint32
	}{
		{0.192, 20, 1, 2},
		{0.8, 1000, 2, 32},
		{0.4, 1000, 1, 8},
		{0.4, 0, 1, 8},
		{0.01, 1, 1, 1},
	}
	for _, tt := range tests {
		s := &Settings{CoreShare: tt.share, Cores: tt.cores, LinkMbps: tt.mbps}
		if got := s.capacity(); got != tt.want {
			t.Errorf("%v of %d cores, %v Mbit/s: got %d, want %d", tt.share, tt.cores, tt.mbps, got, tt.want)
		}
	}
}

// A node of a small data centre beside a large one knows only those that have registered
// there, and owns no larger part of what all may do for that.
func TestNodesThatAreNotKnownAreCounted(t *testing.T) {
	small, large := testMembers([]string{"a"}, 10), testMembers([]string{"b"}, 25)
	all := slices.Concat(small, large)
	circle := topologyOf(small[0], small[1:])
	if got := peersMsg(&circle, all); got.TotalNodes != 0 || got.LocalNodes != 10 {
		t.Errorf("got %d nodes, %d of them here, want what others tell and 10 of its own", got.TotalNodes, got.LocalNodes)
	}
	circle = topologyOf(small[0], small[1:])
	if got := peersMsg(&circle, small); got.TotalNodes != 10 || got.LocalNodes != 0 {
		t.Errorf("got %d nodes, %d of them here, want all 10 by name", got.TotalNodes, got.LocalNodes)
	}
}

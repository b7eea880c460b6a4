package node

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

// testMembers returns nodes in some data centres; one in twenty has a higher capacity.
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

// topologyOf returns the topology that a node sees when all other nodes are responsive.
func topologyOf(self *wire.Member, others []*wire.Member) reading.Topology {
	r := reading.NewRoster(self, 0, 2000)
	r.SetGroup(membersIn(others, self.GetDataCentre()))
	return r.Topology(0)
}

// Guards against a number of recipients that grows with the number of nodes: with 986 nodes each
// sent its usage to two hundred others, and each order and each crash to all, three times.
func TestRecipientsAreBounded(t *testing.T) {
	centres := []string{"a", "b", "c", "d", "e"}
	for _, each := range []int{30, 100, 200, 400} {
		others := testMembers(centres, each)
		self := others[each-1]
		others = slices.Delete(others, each-1, each)
		topology := topologyOf(self, others)
		r := hubRecipients(&topology, others, "a")
		if topology.FullMesh || topology.IsHub {
			t.Fatalf("%d nodes a data centre: got %+v, want a leaf", each, topology)
		}
		counts := map[string]int{"use": len(r.Usage), "orders": len(r.Placements), "silences": len(r.Unresponsive), "works": len(r.Outcomes), "leaves": len(r.Leaves)}
		for what, got := range counts {
			if want := 40; got > want {
				t.Errorf("%d nodes a data centre: got %d addresses for %s, want %d at most", each, got, what, want)
			}
		}
	}
}

// A broadcast of any node must reach all nodes, forwarded by the hubs of its own and of other
// data centres.
func TestHubsForwardToAllNodes(t *testing.T) {
	members := testMembers([]string{"a", "b"}, 60)
	routes := make(map[string]func() []string)
	forwards := make(map[string][]string)
	for i, m := range members {
		others := slices.Delete(slices.Clone(members), i, i+1)
		topology := topologyOf(m, others)
		r := hubRecipients(&topology, others, m.GetDataCentre())
		routes[m.GetUsageAddress()] = func() []string { return r.Outcomes }
		forwards[m.GetUsageAddress()] = r.Forward
	}
	for _, m := range members {
		reached := make(map[string]bool)
		for _, first := range routes[m.GetUsageAddress()]() {
			reached[first] = true
			for _, second := range forwards[first] {
				reached[second] = true
			}
		}
		reached[m.GetUsageAddress()] = true
		if got, want := len(reached), len(members); got != want {
			t.Fatalf("%s: got %d nodes reached, want %d", m.GetName(), got, want)
		}
	}
}

// All nodes must agree on the candidates for limit owners, however many other nodes they have
// discovered.
func TestNodesAgreeOnLimitOwners(t *testing.T) {
	members := testMembers([]string{"a", "b"}, 60)
	want := limitOwnerCandidates(broadcastTargets(members))
	// A leaf has discovered only some nodes of its own data centre, and a hub all of them.
	some := slices.DeleteFunc(slices.Clone(members), func(m *wire.Member) bool {
		return m.GetStrength() < 32 && m.GetName()[2:] > "030"
	})
	if got := limitOwnerCandidates(broadcastTargets(some)); !slices.Equal(got, want) {
		t.Errorf("got owners %v, want %v", got, want)
	}
}

func TestCapacity(t *testing.T) {
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

// Guards against a node of a small data centre that takes too large a share of the limits of all
// nodes, because it has discovered only the registered nodes of a large data centre.
func TestPeersMsgCountsUnlistedNodes(t *testing.T) {
	small, large := testMembers([]string{"a"}, 10), testMembers([]string{"b"}, 25)
	all := slices.Concat(small, large)
	topology := topologyOf(small[0], small[1:])
	if got := peersMsg(&topology, all); got.TotalNodes != 0 || got.LocalNodes != 10 {
		t.Errorf("got %d nodes in all, %d in the data centre, want 0 and 10", got.TotalNodes, got.LocalNodes)
	}
	topology = topologyOf(small[0], small[1:])
	if got := peersMsg(&topology, small); got.TotalNodes != 10 || got.LocalNodes != 0 {
		t.Errorf("got %d nodes in all, %d in the data centre, want 10 and 0", got.TotalNodes, got.LocalNodes)
	}
}

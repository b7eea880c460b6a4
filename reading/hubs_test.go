package reading_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// statusInterval is the time between two statuses of a node, in ms.
	statusInterval = 300
	// strongNodeInterval selects the nodes with higher VM capacity: the last of every
	// strongNodeInterval nodes.
	strongNodeInterval = 20
)

// nodeGroup is a group of nodes in virtual time that exchange statuses as their topology
// requires.
type nodeGroup struct {
	names   []string
	members map[string]*wire.Member
	rosters map[string]*reading.Roster
	// received counts the statuses that arrived at each node.
	received map[string]int
	now      clock.Millis
}

func newNodeGroup(nodes int) *nodeGroup {
	g := &nodeGroup{members: make(map[string]*wire.Member), rosters: make(map[string]*reading.Roster), received: make(map[string]int)}
	for i := range nodes {
		name := fmt.Sprintf("n%04d", i)
		strength := uint32(2)
		if i%strongNodeInterval == strongNodeInterval-1 {
			strength = 32
		}
		g.names = append(g.names, name)
		g.members[name] = &wire.Member{Name: name, Strength: strength}
	}
	for _, name := range g.names {
		g.start(name)
	}
	return g
}

// start starts a node, which knows all other nodes.
func (g *nodeGroup) start(name string) {
	r := reading.NewRoster(g.members[name], g.now, 2000)
	var others []*wire.Member
	for _, other := range g.names {
		if other != name {
			others = append(others, g.members[other])
		}
	}
	r.SetGroup(others)
	g.rosters[name] = r
}

// exchangeStatuses makes all nodes exchange statuses for a duration.
func (g *nodeGroup) exchangeStatuses(duration clock.Millis) {
	for until := g.now.Add(duration); g.now < until; g.now = g.now.Add(statusInterval) {
		for _, name := range g.names {
			r := g.rosters[name]
			if r == nil {
				continue
			}
			topology := r.Topology(g.now)
			recipients := topology.Hubs
			if topology.IsHub {
				recipients = append(recipients, topology.Leaves...)
			}
			if topology.FullMesh {
				recipients = nil
				for _, other := range g.names {
					recipients = append(recipients, g.members[other])
				}
			}
			for _, m := range recipients {
				if to := g.rosters[m.GetName()]; to != nil && m.GetName() != name {
					to.UpdateStatus(g.now, name, true)
					g.received[m.GetName()]++
				}
			}
		}
	}
}

// hubs returns the names of the nodes that consider themselves hubs.
func (g *nodeGroup) hubs() []string {
	var hubs []string
	for _, name := range g.names {
		if r := g.rosters[name]; r != nil {
			if topology := r.Topology(g.now); topology.IsHub {
				hubs = append(hubs, name)
			}
		}
	}
	return hubs
}

// Guards against status traffic that grows with the number of nodes: with a full mesh of two
// hundred nodes, each node sent and received 660 datagrams a second without having anything in
// use. Only the hubs may receive the statuses of all nodes.
func TestStatusTrafficIsBounded(t *testing.T) {
	const duration = 4500
	const perSecond = 1000.0 / duration
	for _, nodes := range []int{30, 100, 300, 1000} {
		g := newNodeGroup(nodes)
		g.exchangeStatuses(duration)
		hubs := g.hubs()
		isHub := make(map[string]bool)
		for _, hub := range hubs {
			isHub[hub] = true
		}
		sum, most, leaves := 0, 0, 0
		for _, name := range g.names {
			sum += g.received[name]
			if !isHub[name] {
				leaves++
				most = max(most, g.received[name])
			}
		}
		if got, want := float64(most)*perSecond, 30.0; got > want {
			t.Errorf("%d nodes: got %.0f statuses a second at a leaf, want at most %.0f", nodes, got, want)
		}
		if got, want := float64(sum)*perSecond, 50.0*float64(nodes); got > want {
			t.Errorf("%d nodes: got %.0f statuses a second in total, want at most %.0f", nodes, got, want)
		}
		if len(hubs) > nodes/4 {
			t.Errorf("%d nodes: got %d hubs, want at most a quarter of the nodes", nodes, len(hubs))
		}
	}
}

// Checks that the nodes with the highest VM capacity are the hubs, and that all other nodes
// follow the first hub.
func TestHubsHaveHighestCapacity(t *testing.T) {
	g := newNodeGroup(200)
	g.exchangeStatuses(3000)
	for _, hub := range g.hubs() {
		if got, want := g.members[hub].GetStrength(), uint32(32); got != want {
			t.Errorf("got hub %s with capacity %d, want %d", hub, got, want)
		}
	}
	first := g.hubs()[0]
	for _, name := range g.names {
		r := g.rosters[name]
		if name != first && r.Reader(g.now).GetName() != first {
			t.Fatalf("%s: got reader %q, want %q", name, r.Reader(g.now).GetName(), first)
		}
	}
}

// Checks that other nodes replace crashed hubs, even if the next nodes by rank crash too, and
// that the former hubs take over again after a restart.
func TestLostHubsAreReplaced(t *testing.T) {
	g := newNodeGroup(200)
	g.exchangeStatuses(3000)
	before := g.hubs()
	lost := append([]string(nil), before...)
	for _, name := range g.names {
		// The next nodes by rank crash as well.
		if g.members[name].GetStrength() > 2 {
			lost = append(lost, name)
		}
	}
	for _, name := range lost {
		g.rosters[name] = nil
	}
	g.exchangeStatuses(6000)
	after := g.hubs()
	if len(after) < len(before) {
		t.Fatalf("got hubs %v, want as many as before the crash: %v", after, before)
	}
	for _, name := range g.names {
		if r := g.rosters[name]; r != nil && r.Reader(g.now) == nil && name != after[0] {
			t.Fatalf("%s: got no reader, want one", name)
		}
	}
	for _, name := range lost {
		g.start(name)
	}
	g.exchangeStatuses(3000)
	if got := g.hubs(); fmt.Sprint(got) != fmt.Sprint(before) {
		t.Errorf("got hubs %v after the restart, want %v as before the crash", got, before)
	}
}

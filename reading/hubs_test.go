package reading_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// statusInterval is how often a node tells of itself, in ms.
	statusInterval = 300
	// strongNodeInterval is which nodes have VMs that can do more than the others'.
	strongNodeInterval = 20
)

// nodeGroup is a group of nodes in virtual time, each of which tells those of its circle of
// itself.
type nodeGroup struct {
	names   []string
	members map[string]*wire.Member
	rosters map[string]*reading.Roster
	// received counts the words that have come to each node.
	received map[string]int
	now      clock.Millis
}

func newNodeGroup(nodes int) *nodeGroup {
	c := &nodeGroup{members: make(map[string]*wire.Member), rosters: make(map[string]*reading.Roster), received: make(map[string]int)}
	for i := range nodes {
		name := fmt.Sprintf("n%04d", i)
		strength := uint32(2)
		if i%strongNodeInterval == strongNodeInterval-1 {
			strength = 32
		}
		c.names = append(c.names, name)
		c.members[name] = &wire.Member{Name: name, Strength: strength}
	}
	for _, name := range c.names {
		c.start(name)
	}
	return c
}

// start starts a node, which knows all others.
func (c *nodeGroup) start(name string) {
	r := reading.NewRoster(c.members[name], c.now, 2000)
	var others []*wire.Member
	for _, other := range c.names {
		if other != name {
			others = append(others, c.members[other])
		}
	}
	r.SetGroup(others)
	c.rosters[name] = r
}

// exchangeStatuses has all nodes tell of themselves for a time.
func (c *nodeGroup) exchangeStatuses(lasts clock.Millis) {
	for until := c.now.Add(lasts); c.now < until; c.now = c.now.Add(statusInterval) {
		for _, name := range c.names {
			r := c.rosters[name]
			if r == nil {
				continue
			}
			circle := r.Topology(c.now)
			told := circle.Hubs
			if circle.IsHub {
				told = append(told, circle.Leaves...)
			}
			if circle.FullMesh {
				told = nil
				for _, other := range c.names {
					told = append(told, c.members[other])
				}
			}
			for _, m := range told {
				if to := c.rosters[m.GetName()]; to != nil && m.GetName() != name {
					to.Heard(c.now, name, true)
					c.received[m.GetName()]++
				}
			}
		}
	}
}

// hubs returns the names of the nodes that take themselves for hubs.
func (c *nodeGroup) hubs() []string {
	var hubs []string
	for _, name := range c.names {
		if r := c.rosters[name]; r != nil {
			if circle := r.Topology(c.now); circle.IsHub {
				hubs = append(hubs, name)
			}
		}
	}
	return hubs
}

// With two hundred nodes in a data centre each heard and sent 660 datagrams a second, to say
// that it was there and had nothing in use. What a node hears must not grow with the nodes,
// but for the few that hear of all.
func TestWhatANodeHearsDoesNotGrow(t *testing.T) {
	const lasts = 4500
	const perSecond = 1000.0 / lasts
	for _, nodes := range []int{30, 100, 300, 1000} {
		c := newNodeGroup(nodes)
		c.exchangeStatuses(lasts)
		hubs := c.hubs()
		isHub := make(map[string]bool)
		for _, hub := range hubs {
			isHub[hub] = true
		}
		sum, most, leaves := 0, 0, 0
		for _, name := range c.names {
			sum += c.received[name]
			if !isHub[name] {
				leaves++
				most = max(most, c.received[name])
			}
		}
		if got, want := float64(most)*perSecond, 30.0; got > want {
			t.Errorf("%d nodes: got %.0f words a second at a leaf, want %.0f at most", nodes, got, want)
		}
		if got, want := float64(sum)*perSecond, 50.0*float64(nodes); got > want {
			t.Errorf("%d nodes: got %.0f words a second in all, want %.0f at most", nodes, got, want)
		}
		if len(hubs) > nodes/4 {
			t.Errorf("%d nodes: got %d hubs", nodes, len(hubs))
		}
	}
}

// The nodes whose VMs can do most are the hubs, all nodes know the same, and one of them is
// followed.
func TestStrongestNodesAreHubs(t *testing.T) {
	c := newNodeGroup(200)
	c.exchangeStatuses(3000)
	for _, hub := range c.hubs() {
		if got, want := c.members[hub].GetStrength(), uint32(32); got != want {
			t.Errorf("got hub %s of strength %d, want %d", hub, got, want)
		}
	}
	first := c.hubs()[0]
	for _, name := range c.names {
		r := c.rosters[name]
		if name != first && r.Reader(c.now).GetName() != first {
			t.Fatalf("%s: got reader %q, want %q", name, r.Reader(c.now).GetName(), first)
		}
	}
}

// Where hubs are lost others take their places, also where those are lost too, and give them
// back.
func TestHubsThatAreLostAreReplaced(t *testing.T) {
	c := newNodeGroup(200)
	c.exchangeStatuses(3000)
	before := c.hubs()
	lost := append([]string(nil), before...)
	for _, name := range c.names {
		// The next ones by rank are lost with them.
		if c.members[name].GetStrength() > 2 {
			lost = append(lost, name)
		}
	}
	for _, name := range lost {
		c.rosters[name] = nil
	}
	c.exchangeStatuses(6000)
	after := c.hubs()
	if len(after) < len(before) {
		t.Fatalf("got hubs %v, want as many as before: %v", after, before)
	}
	for _, name := range c.names {
		if r := c.rosters[name]; r != nil && r.Reader(c.now) == nil && name != after[0] {
			t.Fatalf("%s: got nobody to follow", name)
		}
	}
	for _, name := range lost {
		c.start(name)
	}
	c.exchangeStatuses(3000)
	if got := c.hubs(); fmt.Sprint(got) != fmt.Sprint(before) {
		t.Errorf("got hubs %v, want those of before: %v", got, before)
	}
}

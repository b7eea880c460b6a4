package forwarding_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/forwarding"
)

const service = "writer"

// newNodes returns the view of a node of data centre dc-0 on others, spread over three.
func newNodes(others int) *forwarding.Nodes {
	n := forwarding.New("dc-0", rand.New(rand.NewPCG(1, 1)))
	var list []forwarding.Node
	for i := range others {
		list = append(list, forwarding.Node{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	n.Set(list)
	return n
}

func none(string) bool { return false }

// Guards against a node that asks cut nodes again and again: with nine in ten cut, requests must
// soon find those that have a path.
func TestServingNodesAreFound(t *testing.T) {
	n := newNodes(100)
	hasPath := func(name string) bool { return name[len(name)-1] == '7' }
	failed := 0
	const requests, maxAsked = 400, 4
	for i := range requests {
		now := clock.Millis(i * 10)
		asked := make(map[string]bool)
		served := false
		for len(asked) < maxAsked && !served {
			node, ok := n.Choose(now, service, func(name string) bool { return asked[name] })
			if !ok {
				break
			}
			asked[node.Name] = true
			if served = hasPath(node.Name); served {
				n.RecordServed(now, node.Name, service)
			} else {
				n.RecordRefused(now, node.Name, service)
			}
		}
		if !served {
			failed++
		}
	}
	if want := requests / 10; failed > want {
		t.Errorf("got %d of %d requests that found no node, want at most %d", failed, requests, want)
	}
}

// Guards against one node that takes all requests of a cut one.
func TestLoadIsSpread(t *testing.T) {
	n := newNodes(9)
	taken := make(map[string]int)
	const requests = 900
	for i := range requests {
		node, ok := n.Choose(clock.Millis(i), service, none)
		if !ok {
			t.Fatal("got no node, want one")
		}
		n.RecordBegun(node.Name)
		n.RecordServed(clock.Millis(i), node.Name, service)
		taken[node.Name]++
	}
	for name, count := range taken {
		if most := requests / len(taken) * 3 / 2; count > most {
			t.Errorf("got %d requests at %s, want at most %d", count, name, most)
		}
	}
	if len(taken) != 9 {
		t.Errorf("got requests at %d nodes, want 9", len(taken))
	}
}

// Guards against a refusal of one service that keeps requests of another from a node.
func TestRefusalHoldsForItsService(t *testing.T) {
	n := newNodes(1)
	n.RecordRefused(0, "n0", service)
	if _, ok := n.Choose(1, service, none); ok {
		t.Error("got a node that has just refused, want none")
	}
	if _, ok := n.Choose(1, "other", none); !ok {
		t.Error("got no node for another service, want one")
	}
	if _, ok := n.Choose(10_000, service, none); !ok {
		t.Error("got no node after the pause, want one")
	}
	n.RecordUnreached(10_000, "n0")
	if _, ok := n.Choose(10_001, "other", none); ok {
		t.Error("got a node that is not reached, want none")
	}
}

// Guards against requests to a node that has stopped sending messages.
func TestSilentNodeIsLeftOut(t *testing.T) {
	n := newNodes(1)
	n.RecordHeard(0, "n0")
	if _, ok := n.Choose(100, service, none); !ok {
		t.Error("got no node, want the one that was heard")
	}
	if _, ok := n.Choose(5000, service, none); ok {
		t.Error("got a node that is silent, want none")
	}
}

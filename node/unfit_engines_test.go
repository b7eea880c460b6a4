package node_test

import (
	"fmt"
	"testing"
)

// unfitEngine returns an entry that is as valid as an engine's, but contradicts the service's 12 layers, of which 8
// fit into an engine, and its kinds of accelerators.
func unfitEngine(i int) []byte {
	unfit := []struct{ kind, layers string }{
		{"small", `{"from":12,"targetVersion":16}`},
		{"small", `{"from":100000,"targetVersion":100000}`},
		{"small", `{"from":6,"targetVersion":100000}`},
		{"small", `{"from":0,"targetVersion":12}`},
		{"small", `{"from":0,"targetVersion":1e5}`},
		{"of no service", `{"from":0,"targetVersion":4}`},
	}
	e, dataCentre := unfit[i%len(unfit)], []string{"dc", "elsewhere"}[i/len(unfit)%2]
	return fmt.Appendf(nil, `{"born":1764720000123,"service":"writer","kind":%q,"address":"127.0.0.1:9","zone":%q,"version":"v1","slots":16,"state":"ready","coldLeftMs":0,"sequence":1,"layers":%s}`,
		e.kind, dataCentre, e.layers)
}

// Guards against entries of other writers that end the processes of all nodes, again after each start: they are
// sound by themselves, and their layers are none of the model's (case 4 of the second review).
func TestUnfitEnginesEndNoNode(t *testing.T) {
	t.Parallel()
	for _, count := range []int{1, 6, 1000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			running := s.startNode("n1", s.storeAddress)
			running.awaitServing(t)
			for i := range count {
				s.store.Put("servers", fmt.Sprint("x", i), unfitEngine(i))
			}
			started := s.startNode("n2", s.storeAddress, running.peerAddress)
			started.awaitServing(t)
			for _, n := range []*testNode{running, started} {
				n.checkServes(t, "u")
			}
			running.stop()
			last := s.startNode("n3", s.storeAddress)
			last.awaitServing(t)
			last.checkServes(t, "v")
		})
	}
}

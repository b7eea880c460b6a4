package dispatch

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// preferenceNodes have one request each, over engines that hold a quarter of the layers
	// each, so many for each quarter.
	preferenceNodes   = 200
	enginesPerQuarter = 12
	preferenceLayers  = 80
)

// engineChoices returns how often each engine is part of the first chains of nodes that know
// the same.
func engineChoices(large bool) map[fleet.Incarnation]int {
	pipeline := &catalog.Pipeline{
		Layers: preferenceLayers, LayerMB: 1000, TokenBytes: 80_000, StepMS: 1, ReadRate: 100, StepsPerPass: 1, PromptTokensPerPass: 100,
		Accelerators: map[string]catalog.Accelerator{"fast": {Name: "fast", MemoryMB: 40_000, StepFactor: 1, ReadFactor: 1}},
	}
	var changes []fleet.Change
	for i := range 4 * enginesPerQuarter {
		id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%03d", i)))
		from := i % 4 * preferenceLayers / 4
		changes = append(changes, fleet.Change{ID: id, Upstream: fleet.Upstream{
			ID: id, Service: "s", Address: fmt.Sprint("e", i, ":1"), DataCentre: "a", Accelerator: "fast", Slots: 192,
			Held: fleet.LayerRange{From: from, To: from + preferenceLayers/4},
		}})
	}
	counts := make(map[fleet.Incarnation]int)
	for node := range preferenceNodes {
		m := New(WithDataCentre("a"), WithSeed(uint64(node)+1))
		m.Update(0, CatalogMsg{Catalog: catalog.New(1,
			catalog.WithRoutes(&catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Streaming, Anonymous: true,
				Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, Timeout: 20_000, LatencyTarget: 500}),
			catalog.WithServices(&catalog.Service{Name: "s", Pipeline: pipeline}))})
		m.Update(0, FleetMsg{Changes: changes})
		m.Update(0, PeersMsg{TotalNodes: preferenceNodes, UsagePeers: preferenceNodes - 1, Aggregated: large})
		cmds := m.Update(2000, ArriveMsg{Request: 1, CallerID: fmt.Sprint(node), Host: "h", Path: "/a", Remaining: 20_000, PromptTokens: 100, AnswerTokens: 50})
		send, ok := cmds[len(cmds)-1].(SendCmd)
		if !ok {
			return nil
		}
		for _, part := range send.Chain {
			counts[part.ID]++
		}
	}
	return counts
}

// In a data centre of two hundred nodes, with a request each four seconds a node, all built
// the same cheapest chain of 570 engines. One engine of it that gave its layers up turned 27
// requests of 27 nodes away within half a second.
func TestNodesThatKnowTheSameChooseDifferentEngines(t *testing.T) {
	most := func(counts map[fleet.Incarnation]int) int {
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		return most
	}
	mean := preferenceNodes / enginesPerQuarter
	counts := engineChoices(true)
	if got, want := most(counts), 3*mean; got > want {
		t.Errorf("got %d of %d requests over one engine, want %d at most", got, preferenceNodes, want)
	}
	if got, want := len(counts), 4*enginesPerQuarter; got != want {
		t.Errorf("got %d engines used, want all %d", got, want)
	}
	// Where each node has many requests they learn of each other's by what is in use.
	if got, want := most(engineChoices(false)), preferenceNodes; got != want {
		t.Errorf("got %d of %d requests over one engine in a small data centre, want all", got, want)
	}
}

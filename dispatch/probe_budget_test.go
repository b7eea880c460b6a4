package dispatch

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// newProbingModel returns a model of one of several nodes before a number of engines, and the engines.
func newProbingModel(nodes, engines int) (*Model, []fleet.Incarnation) {
	m := New()
	m.Update(0, CatalogMsg{Catalog: catalog.New(1, catalog.WithServices(&catalog.Service{Name: "s", Pipeline: &catalog.Pipeline{Layers: 8}}))})
	m.Update(0, PeersMsg{UsagePeers: nodes - 1, TotalNodes: nodes})
	var changes []fleet.Change
	var ids []fleet.Incarnation
	for i := range engines {
		id := fleet.IncarnationByID(fleet.ID(fmt.Sprint("e", i)))
		ids = append(ids, id)
		changes = append(changes, fleet.Change{ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Address: fmt.Sprint("e", i, ":1")}})
	}
	m.Update(0, FleetMsg{Changes: changes})
	return m, ids
}

// probeUnanswered runs ticks for a time, in which no probe is answered and other nodes report all engines
// each second, and returns the number of probes.
func probeUnanswered(m *Model, ids []fleet.Incarnation, from, during clock.Millis) int {
	probes := 0
	for now := from; now < from.Add(during); now = now.Add(100) {
		if now%1000 == 0 {
			for _, id := range ids {
				m.Update(now, PeerUnresponsiveMsg{Upstream: id})
			}
		}
		for _, cmd := range m.Update(now, TickMsg{}) {
			if probe, ok := cmd.(ProbeCmd); ok {
				probes++
				m.Update(now.Add(50), ProbedMsg{Upstream: probe.Upstream})
			}
		}
	}
	return probes
}

// Guards against service that does not come back after all nodes have returned: engines that answer late are probed
// by each node, and the probes of all nodes take the processor time in which the engines would answer.
func TestProbesOfAllNodesAreBounded(t *testing.T) {
	// A node sends this many probes a second at the most, or all nodes together this many for each engine.
	const nodeProbes, engineProbes = 3.0, 6.0
	for _, tt := range []struct{ nodes, engines int }{{130, 93}, {300, 93}, {9, 41}, {300, 3000}} {
		m, ids := newProbingModel(tt.nodes, tt.engines)
		const seconds = 20
		got := float64(probeUnanswered(m, ids, 1000, seconds*1000)*tt.nodes) / seconds
		want := max(nodeProbes*float64(tt.nodes), engineProbes*float64(tt.engines))
		if got > want {
			t.Errorf("%d nodes, %d engines: got %.0f probes a second of all nodes, want %.0f at most", tt.nodes, tt.engines, got, want)
		}
	}
}

// Guards against a budget that delays the first probe of engines that are lost with a rack.
func TestLostRackIsProbedAtOnce(t *testing.T) {
	m, ids := newProbingModel(9, 41)
	for _, id := range ids[:9] {
		m.Update(1000, PeerUnresponsiveMsg{Upstream: id})
	}
	got, want := 0, 9
	for _, cmd := range m.Update(1100, TickMsg{}) {
		if _, ok := cmd.(ProbeCmd); ok {
			got++
		}
	}
	if got != want {
		t.Errorf("got %d probes at the next tick, want %d", got, want)
	}
}

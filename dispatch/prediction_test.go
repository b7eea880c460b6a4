package dispatch

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// BenchmarkPredict measures a prediction over ten of 115 engines with the usage of 45 nodes, those
// of a data centre of 43 and the sums of two others. The bound is 20 µs.
func BenchmarkPredict(b *testing.B) {
	const engines, layers = 115, 8
	pipeline := &catalog.Pipeline{
		Layers: 80, LayerMB: 1000, TokenBytes: 400_000, StepMS: 1, SequenceMS: 0.01, ReadRate: 164, StepsPerPass: 4, PromptTokensPerPass: 512,
		Accelerators: map[string]catalog.Accelerator{"k": {Name: "k", MemoryMB: 1e5, StepFactor: 1, ReadFactor: 1}},
	}
	service := &catalog.Service{Name: "writer", Pipeline: pipeline}
	m := New(WithDataCentre("a"))
	m.Update(0, CatalogMsg{Catalog: catalog.New(1, catalog.WithServices(service))})
	var changes []fleet.Change
	var stages []chain.Stage
	used := make(map[fleet.Incarnation]fleet.EngineUsage)
	for i := range engines {
		held := fleet.LayerRange{From: i * layers % 80, To: i*layers%80 + layers}
		u := fleet.Upstream{ID: fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%d", i))), Service: "writer", DataCentre: "a", Accelerator: "k", Held: held, Slots: 20}
		changes = append(changes, fleet.Change{ID: u.ID, Upstream: u})
		used[u.ID] = fleet.EngineUsage{Memory: 5000, Streams: 1, PromptTokens: 300}
		if i < 80/layers {
			stages = append(stages, chain.Stage{ID: u.ID, Layers: held})
		}
	}
	m.Update(0, FleetMsg{Changes: changes})
	for i := range 45 {
		m.Update(2000, UsageMsg{Node: fmt.Sprintf("n%d", i), Used: used})
	}
	r := &request{arrival: ArriveMsg{PromptTokens: 775, AnswerTokens: 220}, service: service}
	b.ReportAllocs()
	for b.Loop() {
		if p := m.predict(r, stages); p.firstEvent <= 0 {
			b.Fatalf("got a prediction of %d ms, want more than 0", p.firstEvent)
		}
	}
}

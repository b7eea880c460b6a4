package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Whatever happens, what is covered is the same as if it were worked out anew: once a
// second that looked at all engines, for nothing.
func TestCoverageIsThatOfNow(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, seed))
		m, now := New(), clock.Millis(0)
		for step := range 400 {
			now = now.Add(clock.Millis(random.IntN(400)))
			m.Update(now, randomMsg(random))
			if got, want := m.Coverage(now), m.computeCoverage(now); !slices.Equal(got, want) {
				t.Fatalf("seed %d, step %d: got %q, want %q", seed, step, got, want)
			}
		}
	}
}

// randomMsg is something that may happen to a few engines of a model of ten layers.
func randomMsg(random *rand.Rand) Msg {
	name := fmt.Sprintf("e%d", random.IntN(6))
	id := fleet.IncarnationByID(fleet.ID(name))
	from := random.IntN(8)
	layers := fleet.LayerRange{From: from, To: from + random.IntN(4)}
	switch random.IntN(9) {
	case 0:
		return CatalogMsg{Catalog: catalog.New(1, catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
			Layers: 10, LayerMB: 100, TokenBytes: 1000, StepMS: 1,
			Accelerators: map[string]catalog.Accelerator{"k": {Name: "k", MemoryMB: 500, StepFactor: 1}},
		}}))}
	case 1, 2:
		return FleetMsg{Changes: []fleet.Change{{ID: id, Gone: random.IntN(3) == 0, Upstream: fleet.Upstream{
			ID: id, Service: "writer", Address: name, DataCentre: "a", Accelerator: "k", Leaving: random.IntN(5) == 0, Held: layers,
		}}}}
	case 3:
		return ResponsivenessMsg{Upstream: id, Unresponsive: random.IntN(2) == 0, Confirmed: random.IntN(2) == 0}
	case 4:
		return OrderResultMsg{Upstream: id, Result: Result(random.IntN(4)), Held: layers}
	case 5:
		return PlacedMsg{Upstream: id, Layers: layers, Completed: random.IntN(2) == 0}
	default:
		return TickMsg{}
	}
}

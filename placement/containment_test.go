package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against a plan that can't be computed and ends the process of every node, or leaves a data centre without
// orders for as long as the input stays: the last plan that could be computed goes on serving.
func TestLastPlanServesWhilePlacementFails(t *testing.T) {
	var failed []string
	contained := func(place string, input func() string, f func()) (ok bool) {
		defer func() {
			if recover() != nil {
				failed = append(failed, place+" "+input())
			}
		}()
		f()
		return true
	}
	m, now := New(WithContainment(contained)), clock.Millis(0)
	engine := func(name string) fleet.Change {
		id := fleet.IncarnationByID(fleet.ID(name))
		return fleet.Change{ID: id, Upstream: fleet.Upstream{ID: id, Service: "writer", Address: name + ":80", DataCentre: "a", Accelerator: "k"}}
	}
	m.Update(now, CatalogMsg{Catalog: catalog.New(1, catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
		Layers: 10, LayerMB: 100, TokenBytes: 1000, StepMS: 1, Accelerators: map[string]catalog.Accelerator{"k": {Name: "k", MemoryMB: 700, StepFactor: 1}},
	}}))})
	m.Update(now, FleetMsg{Changes: []fleet.Change{engine("e1"), engine("e2"), engine("e3")}})
	tick := func(until clock.Millis) (orders []string) {
		for ; now < until; now = now.Add(250) {
			for _, o := range m.Update(now, TickMsg{}) {
				orders = append(orders, fmt.Sprint(o.Upstream, " ", o.Layers))
			}
		}
		slices.Sort(orders)
		return orders
	}
	first := tick(6000)
	if len(first) != 3 || len(failed) != 0 {
		t.Fatalf("got orders %v and failures %v, want an order for each engine", first, failed)
	}
	// From now on no plan can be computed. None of the orders has arrived, and one engine comes.
	m.compute = func(Shape, []Engine) []Order { panic("index out of range") }
	for _, name := range []string{"e1", "e2", "e3"} {
		m.Update(now, OrderResultMsg{Upstream: fleet.IncarnationByID(fleet.ID(name)), Result: Unanswered})
	}
	m.Update(now, FleetMsg{Changes: []fleet.Change{engine("e4")}})
	if again := tick(11_000); !slices.Equal(again, first) {
		t.Errorf("got orders %v, want those of the last plan again, %v", again, first)
	}
	if len(failed) == 0 {
		t.Error("got no failure, want one for the plan")
	}
	// A plan that can be computed again replaces it.
	m.compute = Plan
	m.Update(now, FleetMsg{Changes: []fleet.Change{engine("e5")}})
	if later := tick(12_000); len(later) == 0 {
		t.Error("got no order, want one for the engine that came")
	}
}

package placement_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// benchShape is the shape of a model with 80 layers.
var benchShape = placement.Shape{Layers: 80, LayerTokens: 237_000, LoadTime: 175, PromptTokens: 775, AnswerTokens: 220, Pass: catalog.Pass{StreamSlowdown: 0.01}}

func benchEngines(n int, placed bool) []placement.Engine {
	engines := make([]placement.Engine, n)
	for i := range engines {
		engines[i] = placement.Engine{ID: fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%04d", i))), DataCentre: fmt.Sprintf("dc-%d", i/33), LayerCapacity: 10, MemoryLayers: 10.5, LayerTime: 0.1, ReadTime: 0.0005}
		if placed {
			from := (i * 8) % 80
			engines[i] = engines[i].Holding(fleet.LayerRange{From: from, To: from + 8})
		}
	}
	return engines
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{38, 99, 330, 990} {
		for name, placed := range map[string]bool{"empty": false, "placed": true} {
			engines := benchEngines(n, placed)
			b.Run(fmt.Sprintf("%s-%d", name, n), func(b *testing.B) {
				for b.Loop() {
					placement.Plan(benchShape, engines)
				}
			})
		}
	}
}

// modelWithEngines returns a planner with n engines that together hold all layers.
func modelWithEngines(n int) *placement.Model {
	m := placement.New()
	m.Update(0, placement.CatalogMsg{Catalog: testCatalog(benchShape.Layers)})
	var changes []fleet.Change
	for _, e := range benchEngines(n, true) {
		changes = append(changes, fleet.Change{ID: e.ID, Upstream: fleet.Upstream{
			ID: e.ID, Service: "writer", DataCentre: e.DataCentre, Accelerator: "big", Held: e.Held(),
		}})
	}
	m.Update(0, placement.FleetMsg{Changes: changes})
	return m
}

// BenchmarkTick measures a tick when nothing is to be ordered. The planner gets four ticks per
// second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{38, 99, 330, 990} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := modelWithEngines(n)
			for b.Loop() {
				m.Update(10_000, placement.TickMsg{})
			}
		})
	}
}

// BenchmarkCoverage measures Coverage when nothing has changed. It is called once per second for
// the log.
func BenchmarkCoverage(b *testing.B) {
	for _, n := range []int{38, 330, 990, 7100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := modelWithEngines(n)
			for b.Loop() {
				m.Coverage(10_000)
			}
		})
	}
}

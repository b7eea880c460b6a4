package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// accelerator is a kind of accelerator: the size of its memory in layers, and the times to
// generate one token and to process one prompt token in one layer, in milliseconds.
type accelerator struct {
	name      string
	memory    float64
	layerTime float64
	readTime  float64
}

var (
	largeFast = accelerator{"large", 41.1, 0.031, 0.00024}
	smallFast = accelerator{"small", 8.2, 0.068, 0.0006}
	slow      = accelerator{"slow", 12.3, 0.2, 0.0006}
)

func engines(centre string, k accelerator, n int) []placement.Engine {
	list := make([]placement.Engine, n)
	for i := range list {
		list[i] = placement.Engine{
			ID: fleet.IncarnationByID(fleet.ID(fmt.Sprintf("%s-%s-%02d", centre, k.name, i))), DataCentre: centre,
			LayerCapacity: int(k.memory), MemoryLayers: k.memory, LayerTime: k.layerTime, ReadTime: k.readTime,
		}
	}
	return list
}

// holders returns the number of holders of each layer after the orders.
func holders(orders []placement.Order, layers int) []int {
	n := make([]int, layers)
	for _, o := range orders {
		for layer := o.Layers.From; layer < o.Layers.To; layer++ {
			n[layer]++
		}
	}
	return n
}

// Fast engines must hold the whole model if they can, and every engine must keep memory for
// requests.
func TestPlanPrefersFastEngines(t *testing.T) {
	list := slices.Concat(engines("a", largeFast, 1), engines("a", smallFast, 10), engines("a", slow, 4))
	orders := placement.Plan(benchShape, list)
	fast := 0
	for _, o := range orders {
		i := slices.IndexFunc(list, func(e placement.Engine) bool { return e.ID == o.ID })
		if share := float64(o.Layers.Len()) / list[i].MemoryLayers; share > 0.9 {
			t.Errorf("%s: got a share of %v of its memory for layers, want at most 0.9", o.ID, share)
		}
		if list[i].LayerTime < slow.layerTime {
			fast += o.Layers.Len()
		}
	}
	if fast < benchShape.Layers {
		t.Errorf("got %d layers on fast engines, want %d or more", fast, benchShape.Layers)
	}
	if fewest := slices.Min(holders(orders, benchShape.Layers)); fewest < 1 {
		t.Errorf("got a layer with %d holders, want 1 or more", fewest)
	}
}

// For any set of engines, no order may exceed an engine's memory, and a data centre whose engines
// can hold the model must hold all layers.
func TestPlanRandomEngines(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for range 60 {
		list := randomEngines(random)
		largest, total := 0, 0
		orders := placement.Plan(benchShape, list)
		for _, e := range list {
			total += e.LayerCapacity
			largest = max(largest, e.LayerCapacity)
			for _, o := range orders {
				if o.ID == e.ID && (o.Layers.Len() > e.LayerCapacity || o.Layers.From < 0 || o.Layers.To > benchShape.Layers) {
					t.Errorf("got order %v for an engine with memory for %d layers", o, e.LayerCapacity)
				}
			}
		}
		// Ranges of equal length rarely fill the model exactly, so one engine does not count.
		if total-largest < benchShape.Layers {
			continue
		}
		if fewest := slices.Min(holders(orders, benchShape.Layers)); fewest < 1 {
			t.Errorf("got a layer without a holder, want none: %d engines have memory for %d layers", len(list), total)
		}
	}
}

func randomEngines(random *rand.Rand) []placement.Engine {
	list := make([]placement.Engine, 1+random.IntN(30))
	for i := range list {
		memory := 14 * random.Float64()
		if random.IntN(6) == 0 {
			memory = 50 * random.Float64()
		}
		list[i] = placement.Engine{
			ID: fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%02d", i))), DataCentre: "a", LayerCapacity: int(memory), MemoryLayers: memory,
			LayerTime: 0.02 + random.Float64(), ReadTime: 0.001 * random.Float64(),
		}
	}
	return list
}

// Plan must return the same orders for the same engines in any order.
func TestPlanIgnoresEngineOrder(t *testing.T) {
	list := slices.Concat(engines("a", slow, 9), engines("b", smallFast, 14), engines("b", largeFast, 2))
	want := fmt.Sprint(placement.Plan(benchShape, list))
	slices.Reverse(list)
	if got := fmt.Sprint(placement.Plan(benchShape, list)); got != want {
		t.Errorf("got orders %s, want %s", got, want)
	}
}

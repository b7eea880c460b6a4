package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// sizeShape is the shape of a model with 80 layers. sizeKinds are kinds of engines: the size of
// the memory in layers, and the times to generate one token and to process one prompt token in one
// layer, in milliseconds.
var (
	sizeShape = Shape{
		Layers: 80, LayerTokens: 4000, LoadTime: 175, PromptTokens: 740, AnswerTokens: 77,
		Pass: catalog.Pass{StreamSlowdown: 0.004, DecodeSteps: 1, MaxPromptTokens: 100, PromptTokens: 740},
	}
	sizeKinds = []Engine{
		{LayerCapacity: 20, MemoryLayers: 20.6, LayerTime: 0.033, ReadTime: 0.00016},
		{LayerCapacity: 12, MemoryLayers: 12.3, LayerTime: 0.17, ReadTime: 0.0004},
		{LayerCapacity: 8, MemoryLayers: 8.2, LayerTime: 0.16, ReadTime: 0.0007},
	}
)

// sizeEngines returns engines of one data centre: one in eight is of the fast kind, the others are
// of the two slow kinds in equal parts.
func sizeEngines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		kind := 1 + i%2
		if i%8 == 0 {
			kind = 0
		}
		list[i] = sizeKinds[kind]
		list[i].ID, list[i].DataCentre = fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%04d", i))), "a"
	}
	return list
}

// Guards against a planning cost per engine that grows with the number of engines. With 99 nodes
// and 998 servers in three data centres, 90% of all processor time was spent on plans: evaluating
// each range visited all engines of the data centre, so a plan of 333 engines took 2.3 s, and
// several times as long on a small VM. Requests took 0.25 s through a node, 70% of them were
// refused, and upstreams got requests after they had left.
func TestPlanCostPerEngineIsBounded(t *testing.T) {
	partial := func(n int) []Engine {
		list := sizeEngines(n)
		list[0].held = fleet.LayerRange{To: 12}
		return list
	}
	for name, list := range map[string]func(int) []Engine{"first": sizeEngines, "partial": partial} {
		t.Run(name, func(t *testing.T) {
			baseline := evaluationsPerEngine(list(48))
			for _, n := range []int{96, 333, 960} {
				if got := evaluationsPerEngine(list(n)); got > 2*baseline {
					t.Errorf("%d engines: got %d evaluations per engine, want at most %d, twice those of 48 engines", n, got, 2*baseline)
				}
			}
		})
	}
}

func evaluationsPerEngine(list []Engine) int {
	p := newPlan(sizeShape, list)
	p.computeOrders()
	return p.evaluatedEngines / len(list)
}

// maxValueLoss is the maximum reduction of a plan's value due to planning in groups, approximately
// as a share of the served requests.
const maxValueLoss = 0.02

// A plan in groups must have a holder for each layer and about the same value as a plan for the
// whole data centre, which takes far longer.
func TestPlanInGroupsKeepsValue(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 8 {
		list := randomSizeEngines(random, maxGroupSize+1+random.IntN(40))
		inGroups, whole := newPlan(sizeShape, list), newPlan(sizeShape, list)
		inGroups.computeOrders()
		want := newLayout(sizeShape, whole.enginesIn("a"))
		want.search()
		got := newLayout(sizeShape, inGroups.enginesIn("a"))
		if n := got.countHolders(); n > 0 {
			t.Errorf("%d engines: got %d layers without a holder, want none", len(list), n)
		}
		if got, want := got.value(), want.value(); got < want-maxValueLoss {
			t.Errorf("%d engines: got a plan of value %.4f, want at least %.4f; the plan without groups has %.4f", len(list), got, want-maxValueLoss, want)
		}
	}
}

// A data centre with at most maxGroupSize engines must be planned as one group.
func TestSmallDataCentreIsOneGroup(t *testing.T) {
	p := newPlan(sizeShape, sizeEngines(maxGroupSize))
	if got := len(p.groups("a")); got != 1 {
		t.Errorf("got %d groups of %d engines, want 1", got, maxGroupSize)
	}
}

// Each group must be able to hold the model: engines with memory for one layer each must not be
// divided into groups with missing layers.
func TestGroupsCanHoldTheModel(t *testing.T) {
	list := sizeEngines(200)
	for i := range list {
		list[i].LayerCapacity, list[i].MemoryLayers = 1, 1.3
	}
	p := newPlan(sizeShape, list)
	if got := len(p.groups("a")); got != 1 {
		t.Errorf("got %d groups of 200 engines with memory for one layer each, want 1", got)
	}
}

// randomSizeEngines returns engines of up to four random kinds.
func randomSizeEngines(random *rand.Rand, n int) []Engine {
	kinds := make([]Engine, 1+random.IntN(4))
	for i := range kinds {
		memory := 6 + 20*random.Float64()
		kinds[i] = Engine{LayerCapacity: int(memory), MemoryLayers: memory, LayerTime: 0.02 + 0.2*random.Float64(), ReadTime: 0.001 * random.Float64()}
	}
	list := make([]Engine, n)
	for i := range list {
		list[i] = kinds[random.IntN(len(kinds))]
		list[i].ID, list[i].DataCentre = fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%04d", i))), "a"
	}
	return list
}

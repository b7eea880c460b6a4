package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// sizeShape is a model of 80 layers, and sizeKinds are engines for it: memory in
// layers, and the time of a token and of reading one through a layer, in ms.
var (
	sizeShape = Shape{
		Layers: 80, LayerTokens: 4000, LoadTime: 175, Prompt: 740, Answer: 77,
		Pass: catalog.Pass{StreamSlowdown: 0.004, DecodeSteps: 1, MaxPromptTokens: 100, Prompt: 740},
	}
	sizeKinds = []Engine{
		{MaxLayers: 20, MemoryLayers: 20.6, LayerTime: 0.033, ReadTime: 0.00016},
		{MaxLayers: 12, MemoryLayers: 12.3, LayerTime: 0.17, ReadTime: 0.0004},
		{MaxLayers: 8, MemoryLayers: 8.2, LayerTime: 0.16, ReadTime: 0.0007},
	}
)

// sizeEngines are the engines of one data centre: one in eight of the fast kind, the
// others of the two slow ones by halves.
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

// With 99 nodes and 998 servers in three data centres requests took a quarter of a
// second through a node, seven in ten were refused, and upstreams got work after they
// had left. A profile of all nodes had nine tenths of their processor time in the search
// for a plan: each engine's ranges were weighed by looking at all engines of its data
// centre, so that a plan of 333 engines took 2.3 s, and several times that on a small
// VM. What an engine costs must not grow with the others.
func TestPlanWeighsAsManyEnginesForEach(t *testing.T) {
	begun := func(n int) []Engine {
		list := sizeEngines(n)
		list[0].Held = fleet.LayerRange{To: 12}
		return list
	}
	for name, list := range map[string]func(int) []Engine{"first": sizeEngines, "begun": begun} {
		t.Run(name, func(t *testing.T) {
			few := evaluationsPerEngine(list(48))
			for _, n := range []int{96, 333, 960} {
				if got := evaluationsPerEngine(list(n)); got > 2*few {
					t.Errorf("%d engines: got %d weighed for each, want %d at most, twice what 48 take", n, got, 2*few)
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

// maxValueLoss is by how much the value of a plan in groups may be lower, as a part of the
// requests served.
const maxValueLoss = 0.02

// Planned in groups, a data centre of any engines has a holder for each layer, and is
// worth about as much as planned whole, which takes far longer.
func TestPlanInGroupsIsWorthAsMuch(t *testing.T) {
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
			t.Errorf("%d engines: got a plan worth %.4f, want %.4f at least, where one of all is worth %.4f", len(list), got, want-maxValueLoss, want)
		}
	}
}

// A data centre that is planned whole has the plan that it had.
func TestFewEnginesArePlannedTogether(t *testing.T) {
	p := newPlan(sizeShape, sizeEngines(maxGroupSize))
	if got := len(p.groups("a")); got != 1 {
		t.Errorf("got %d groups of %d engines, want 1", got, maxGroupSize)
	}
}

// Each group can hold the model: engines of one layer each are not divided into groups
// that lack some.
func TestGroupsCanHoldTheModel(t *testing.T) {
	list := sizeEngines(200)
	for i := range list {
		list[i].MaxLayers, list[i].MemoryLayers = 1, 1.3
	}
	p := newPlan(sizeShape, list)
	if got := len(p.groups("a")); got != 1 {
		t.Errorf("got %d groups of 200 engines of a layer each, want 1", got)
	}
}

// randomSizeEngines are engines of up to four kinds drawn at random.
func randomSizeEngines(random *rand.Rand, n int) []Engine {
	kinds := make([]Engine, 1+random.IntN(4))
	for i := range kinds {
		memory := 6 + 20*random.Float64()
		kinds[i] = Engine{MaxLayers: int(memory), MemoryLayers: memory, LayerTime: 0.02 + 0.2*random.Float64(), ReadTime: 0.001 * random.Float64()}
	}
	list := make([]Engine, n)
	for i := range list {
		list[i] = kinds[random.IntN(len(kinds))]
		list[i].ID, list[i].DataCentre = fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%04d", i))), "a"
	}
	return list
}

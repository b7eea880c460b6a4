package placement

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// sizeShape is a model of 80 layers, and sizeKinds are engines for it: memory in
// layers, and the time of a token and of reading one through a layer, in ms.
var (
	sizeShape = Shape{
		Layers: 80, LayerTokens: 4000, LoadTime: 175, Prompt: 740, Answer: 77,
		Pass: catalog.Pass{Slowdown: 0.004, Steps: 1, Read: 100, Prompt: 740},
	}
	sizeKinds = []Engine{
		{Most: 20, Memory: 20.6, LayerTime: 0.033, ReadTime: 0.00016},
		{Most: 12, Memory: 12.3, LayerTime: 0.17, ReadTime: 0.0004},
		{Most: 8, Memory: 8.2, LayerTime: 0.16, ReadTime: 0.0007},
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
		list[i].ID, list[i].DataCentre = fmt.Sprintf("e%04d", i), "a"
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
		list[0].Held = fleet.Range{To: 12}
		return list
	}
	for name, list := range map[string]func(int) []Engine{"first": sizeEngines, "begun": begun} {
		t.Run(name, func(t *testing.T) {
			few := weighedForEach(list(48))
			for _, n := range []int{96, 333, 960} {
				if got := weighedForEach(list(n)); got > 2*few {
					t.Errorf("%d engines: got %d weighed for each, want %d at most, twice what 48 take", n, got, 2*few)
				}
			}
		})
	}
}

func weighedForEach(list []Engine) int {
	p := newPlan(sizeShape, list)
	p.seek()
	return p.weighed / len(list)
}

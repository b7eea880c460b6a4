package placement

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against a permanent shortage of memory after a data centre has lost all of its engines.
// One engine had got its layers before the others were listed again. The others were then planned
// one by one, and the first ones were filled to the last layer. Empty engines must be planned
// together and reach nearly the request capacity of an initial plan.
func TestReturningEnginesAreFilledTogether(t *testing.T) {
	const (
		layers        = 80
		requiredShare = 0.8
		engines       = 13
	)
	shape := ShapeOf(&catalog.Pipeline{
		Layers: layers, LayerMB: 1750, TokenBytes: 459_000, StepMS: 0.85, SequenceMS: 0.00297, ContextMS: 0.00398, ReadRate: 252, PromptTokensPerPass: 512,
		StepsPerPass: 2, LoadMS: 14_000, MeanPromptTokens: 772, MeanAnswerTokens: 154,
	})
	build := func() []Engine {
		var list []Engine
		for i := range engines {
			e := Engine{ID: fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%02d", i))), DataCentre: "a", LayerCapacity: 8, MemoryLayers: 8.2, LayerTime: 0.16, ReadTime: 0.0007}
			switch {
			case i == 0:
				e.LayerCapacity, e.MemoryLayers, e.LayerTime, e.ReadTime = 20, 20.5, 0.03, 0.0002
			case i < 6:
				e.LayerCapacity, e.MemoryLayers, e.LayerTime, e.ReadTime = 12, 12.3, 0.17, 0.0004
			}
			list = append(list, e)
		}
		return list
	}
	capacityAfter := func(list []Engine) float64 {
		for _, o := range Plan(shape, list) {
			for i := range list {
				if list[i].ID == o.ID {
					list[i].held = o.Layers
				}
			}
		}
		var pointers []*Engine
		for i := range list {
			pointers = append(pointers, &list[i])
		}
		l := newLayout(shape, pointers)
		if missing := l.countHolders(); missing > 0 {
			t.Fatalf("got %d layers without a holder, want none", missing)
		}
		return l.requestCapacity()
	}
	fresh := capacityAfter(build())
	partial := build()
	partial[5].held = fleet.LayerRange{From: 0, To: 9}
	if got, want := capacityAfter(partial), requiredShare*fresh; got < want {
		t.Errorf("got memory for %.0f request tokens, want at least %.0f; an initial plan has %.0f", got, want, fresh)
	}
}

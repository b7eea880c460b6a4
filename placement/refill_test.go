package placement

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// A data centre that had lost all of its engines was short of memory for good: one engine had been
// given its layers when the others were listed again, so these were given theirs one by one, the
// first ones to the last layer. What is left to be placed is planned together: it has nearly
// the room that it would have had from nothing.
func TestEnginesThatComeBackAreFilledTogether(t *testing.T) {
	const (
		layers  = 80
		roomOf  = 0.8
		engines = 13
	)
	shape := ShapeOf(&catalog.Pipeline{
		Layers: layers, LayerMB: 1750, TokenBytes: 459_000, StepMS: 0.85, SequenceMS: 0.00297, ContextMS: 0.00398, ReadRate: 252, PromptTokensPerPass: 512,
		StepsPerPass: 2, LoadMS: 14_000, MeanPromptTokens: 772, MeanAnswerTokens: 154,
	})
	build := func() []Engine {
		var list []Engine
		for i := range engines {
			e := Engine{ID: fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%02d", i))), DataCentre: "a", MaxLayers: 8, MemoryLayers: 8.2, LayerTime: 0.16, ReadTime: 0.0007}
			switch {
			case i == 0:
				e.MaxLayers, e.MemoryLayers, e.LayerTime, e.ReadTime = 20, 20.5, 0.03, 0.0002
			case i < 6:
				e.MaxLayers, e.MemoryLayers, e.LayerTime, e.ReadTime = 12, 12.3, 0.17, 0.0004
			}
			list = append(list, e)
		}
		return list
	}
	roomAfter := func(list []Engine) float64 {
		for _, o := range Plan(shape, list) {
			for i := range list {
				if list[i].ID == o.ID {
					list[i].Held = o.Layers
				}
			}
		}
		var refs []*Engine
		for i := range list {
			refs = append(refs, &list[i])
		}
		l := newLayout(shape, refs)
		if missing := l.countHolders(); missing > 0 {
			t.Fatalf("got %d layers without an engine, want none", missing)
		}
		return l.requestCapacity()
	}
	anew := roomAfter(build())
	begun := build()
	begun[5].Held = fleet.LayerRange{From: 0, To: 9}
	if got, want := roomAfter(begun), roomOf*anew; got < want {
		t.Errorf("got room for %.0f tokens, want %.0f at least: from nothing there is %.0f", got, want, anew)
	}
}

package lab

import (
	"math"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

func TestQueueKeepsTheOrder(t *testing.T) {
	var q queue
	var got []int
	q.after(5, func() { got = append(got, 2) })
	q.after(1, func() {
		got = append(got, 0)
		q.after(4, func() { got = append(got, 3) })
	})
	q.after(1, func() { got = append(got, 1) })
	q.after(9, func() { got = append(got, 9) })
	q.runUntil(8)
	if len(got) != 4 || got[0] != 0 || got[1] != 1 || got[2] != 2 || got[3] != 3 || q.now != clock.Millis(8) {
		t.Errorf("got %v at %d, want 0 to 3 at 8", got, q.now)
	}
}

// A step takes the longer the more streams are in the batch and the more is read beside, and
// prompts are read one after the other.
func TestEnginesBatch(t *testing.T) {
	w := newWorld(load(t, "small"), Variant{}, 1)
	e := w.engines[0]
	alone := e.stepTime(16, 800)
	if want := w.pipeline.StepTime(e.accelerator, 16); math.Abs(alone-want) > 1e-9 {
		t.Errorf("got %.4f ms a token alone, want %.4f", alone, want)
	}
	for range 100 {
		e.attempts = append(e.attempts, &attempt{})
	}
	crowded := e.stepTime(16, 800)
	if crowded <= alone {
		t.Errorf("got %.4f ms among 100 streams, want more than %.4f", crowded, alone)
	}
	first := e.prefill(0, 1000, 16)
	second := e.prefill(0, 1000, 16)
	if math.Abs(second-2*first) > 1e-9 {
		t.Errorf("got prompts read after %.2f and %.2f ms, want one after the other", first, second)
	}
	if reading := e.stepTime(16, 800); reading <= crowded {
		t.Errorf("got %.4f ms beside reading, want more than %.4f", reading, crowded)
	}
}

// Ten of the few first engines are away, and come back empty, under other ids, at their
// addresses; the planners have their layers loaded elsewhere meanwhile.
func TestLayersAreLoadedElsewhere(t *testing.T) {
	s := load(t, "small")
	healed, left := Run(s, Variant{}, 2), Run(s, without(t, "healing"), 2)
	if healed.PlacementOrders <= left.PlacementOrders || healed.ServedShare() < left.ServedShare() {
		t.Errorf("got %d orders and %.3f served, want more than %d and not less than %.3f", healed.PlacementOrders, healed.ServedShare(), left.PlacementOrders, left.ServedShare())
	}
}

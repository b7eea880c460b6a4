package lab

import (
	"math"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

func TestQueueRunsEventsInOrder(t *testing.T) {
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

// Guards the model of continuous batching: a step takes longer with more streams in the batch
// and with prompts waiting to be read, and prompts are read one after the other.
func TestEngineBatching(t *testing.T) {
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
	if withPrompts := e.stepTime(16, 800); withPrompts <= crowded {
		t.Errorf("got %.4f ms with prompts waiting, want more than %.4f", withPrompts, crowded)
	}
}

// Guards against layers that stay unavailable after engines crash and restart without layers:
// the planners must have these layers loaded on other engines, which keeps requests served.
func TestCrashedLayersAreReplaced(t *testing.T) {
	s := load(t, "small")
	replaced, unreplaced := Run(s, Variant{}, 2), Run(s, without(t, "healing"), 2)
	if replaced.PlacementOrders <= unreplaced.PlacementOrders || replaced.ServedShare() < unreplaced.ServedShare() {
		t.Errorf("got %d orders and %.3f served, want more than %d and at least %.3f", replaced.PlacementOrders, replaced.ServedShare(), unreplaced.PlacementOrders, unreplaced.ServedShare())
	}
}

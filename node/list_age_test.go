package node

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// A list that stands still for longer than its bound is told of once, and so is its end.
func TestListWatch(t *testing.T) {
	w := listWatch{maxAge: 2000}
	for _, step := range []struct {
		age       clock.Millis
		news, old bool
		stood     clock.Millis
	}{
		{-1, false, false, 0},
		{2000, false, false, 2000},
		{2100, true, true, 2100},
		{8700, false, true, 8700},
		{30, true, false, 8700},
		{130, false, false, 130},
	} {
		news, old, stood := w.observe(step.age)
		if news != step.news || old != step.old || stood != step.stood {
			t.Errorf("age %d: got news %v, old %v, stood %d, want %v, %v, %d",
				step.age, news, old, stood, step.news, step.old, step.stood)
		}
	}
}

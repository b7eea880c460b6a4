package node

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// The age of the list must be reported once when it exceeds its bound, and once when the list is
// confirmed again.
func TestListWatchReportsStaleness(t *testing.T) {
	w := listWatch{maxAge: 2000}
	for _, step := range []struct {
		age            clock.Millis
		changed, stale bool
		peakAge        clock.Millis
	}{
		{-1, false, false, 0},
		{2000, false, false, 2000},
		{2100, true, true, 2100},
		{8700, false, true, 8700},
		{30, true, false, 8700},
		{130, false, false, 130},
	} {
		changed, stale, peakAge := w.observe(step.age)
		if changed != step.changed || stale != step.stale || peakAge != step.peakAge {
			t.Errorf("age %d: got changed %v, stale %v, peak age %d, want %v, %v, %d",
				step.age, changed, stale, peakAge, step.changed, step.stale, step.peakAge)
		}
	}
}

package relay

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

func TestRhythm(t *testing.T) {
	tests := []struct {
		name  string
		times []clock.Millis
		want  clock.Millis
	}{
		{"no event yet", nil, minStallPause},
		{"a first event, however late", []clock.Millis{900}, minStallPause},
		{"a usual stream", []clock.Millis{900, 940, 980, 1020}, minStallPause},
		{"a slow stream", []clock.Millis{0, 200, 400, 600}, 500},
		{"one pause in a usual stream", []clock.Millis{0, 40, 80, 120, 420}, 230},
		{"two events at once", []clock.Millis{0, 0, 0}, minStallPause},
	}
	for _, tt := range tests {
		var r eventTiming
		for _, at := range tt.times {
			r.record(at)
		}
		if got := r.stallThreshold(); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

package relay

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

func TestEventTiming(t *testing.T) {
	tests := []struct {
		name  string
		times []clock.Millis
		want  clock.Millis
	}{
		{"no event", nil, minStallPause},
		{"late first event", []clock.Millis{900}, minStallPause},
		{"regular stream", []clock.Millis{900, 940, 980, 1020}, minStallPause},
		{"slow stream", []clock.Millis{0, 200, 400, 600}, 500},
		{"one pause in a regular stream", []clock.Millis{0, 40, 80, 120, 420}, 230},
		{"simultaneous events", []clock.Millis{0, 0, 0}, minStallPause},
	}
	for _, tt := range tests {
		var timing eventTiming
		for _, at := range tt.times {
			timing.record(at)
		}
		if got := timing.stallThreshold(); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

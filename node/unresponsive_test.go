package node

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

func TestUnresponsiveReportsAreDeduplicated(t *testing.T) {
	s := newEngineReports()
	steps := []struct {
		upstream fleet.ID
		at       clock.Millis
		want     bool
	}{
		{"e1", 100, true},
		{"e1", 150, false},
		{"e2", 150, true},
		{"e1", 599, false},
		{"e1", 600, true},
	}
	for _, step := range steps {
		if got := s.isNew(step.at, fleet.IncarnationByID(step.upstream)); got != step.want {
			t.Errorf("%s at %d: got new %v, want %v", step.upstream, step.at, got, step.want)
		}
	}
}

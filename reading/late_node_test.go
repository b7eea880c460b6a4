package reading_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Guards against a late node that replaces hubs whose statuses it has not read yet: after all nodes have returned
// each followed another reader every second, and none had a configuration that was fresh enough to serve.
func TestLateNodeKeepsHubs(t *testing.T) {
	for _, tt := range []struct {
		extra clock.Millis
		kept  bool
	}{{0, false}, {1000, true}} {
		members := make([]*wire.Member, 30)
		for i := range members {
			members[i] = &wire.Member{Name: fmt.Sprintf("n%02d", i), Strength: uint32(100 - i)}
		}
		last := len(members) - 1
		r := reading.NewRoster(members[last], 0, 2000, reading.WithExtendedLimits(func(limit clock.Millis) clock.Millis { return limit + tt.extra }))
		r.SetGroup(members[:last])
		const heardAt, readAt clock.Millis = 1000, 2900
		for _, m := range members[:3] {
			r.UpdateStatus(heardAt, m.GetName(), true)
		}
		hubs := r.Topology(readAt).Hubs
		if got := len(hubs) > 0 && hubs[0].GetName() == members[0].GetName(); got != tt.kept {
			t.Errorf("limits extended by %d ms: got first hub kept %v, want %v", tt.extra, got, tt.kept)
		}
	}
}

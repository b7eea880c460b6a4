package fleet_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// Removed upstreams are remembered only for as long as a backup may date back; otherwise memory
// would grow without bound.
func TestRemovedUpstreamsAreForgotten(t *testing.T) {
	v := fleet.NewView()
	now := clock.Millis(0)
	const interval = 1000
	for i := range 200 {
		id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("u%d", i)))
		v.Apply(now, []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Address: fmt.Sprint(i)}}}, false)
		v.Apply(now, []fleet.Change{{ID: id, Gone: true}}, false)
		now += interval
	}
	limit := int((moment.MaxBackupAge + 2*fleet.RestoreGrace) / interval)
	if got := v.RemovedCount(); got > limit {
		t.Errorf("got %d removed upstreams remembered, want at most %d", got, limit)
	}
}

// BenchmarkManyRemovals guards against a cost per removal that grows with the number of
// upstreams, as when a whole data centre fails.
func BenchmarkManyRemovals(b *testing.B) {
	for _, count := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				v := fleet.NewView()
				var listed, removed []fleet.Change
				for i := range count {
					id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("u%d", i)))
					listed = append(listed, fleet.Change{ID: id, Upstream: fleet.Upstream{ID: id, Address: fmt.Sprint(i)}})
					removed = append(removed, fleet.Change{ID: id, Gone: true})
				}
				v.Apply(0, listed, false)
				v.Apply(1, removed, false)
			}
		})
	}
}

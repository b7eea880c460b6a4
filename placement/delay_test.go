package placement_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// maxAllocations is far below the allocations of a plan for this number of engines, which are
// several thousand.
const maxAllocations = 300

// A node must not compute a plan before its delay has passed. A plan takes a quarter of a second
// on the smallest VMs and delays the node's responses.
func TestNoPlanningBeforeDelay(t *testing.T) {
	m := placement.New(placement.WithDelay(60_000))
	m.Update(0, placement.CatalogMsg{Catalog: testCatalog(80)})
	var changes []fleet.Change
	for i := range 90 {
		id := fmt.Sprintf("e%02d", i)
		changes = append(changes, fleet.Change{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{ID: fleet.IncarnationByID(fleet.ID(id)), Service: "writer", DataCentre: "a", Accelerator: "slow"}})
	}
	m.Update(0, placement.FleetMsg{Changes: changes})
	now := clock.Millis(10_000)
	got := testing.AllocsPerRun(10, func() {
		now++
		if cmds := m.Update(now, placement.TickMsg{}); len(cmds) > 0 {
			t.Fatalf("got %d orders, want none yet", len(cmds))
		}
	})
	if got > maxAllocations {
		t.Errorf("got %v allocations per tick, want at most %d", got, maxAllocations)
	}
}

package placement_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// maxAllocations is far under what seeking a plan for so many engines takes, which
// is some thousands.
const maxAllocations = 300

// A node that leaves the orders to others does not seek a plan either: on the
// smallest VMs that takes a quarter of a second, and the node answers late for it.
func TestNodeThatIsNotDueDoesNotPlan(t *testing.T) {
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
		t.Errorf("got %v allocations a tick, want at most %d", got, maxAllocations)
	}
}

package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// foreignRange returns a range as an entry, a report or a datagram may name it, for a model with the given
// number of layers: of the model in half of the cases, and else any.
func foreignRange(random *rand.Rand, layers int) fleet.LayerRange {
	from := random.IntN(layers)
	switch random.IntN(8) {
	case 0:
		return fleet.LayerRange{From: layers, To: layers + 1 + random.IntN(4)}
	case 1:
		return fleet.LayerRange{From: from, To: layers + 1 + random.IntN(100_000)}
	case 2:
		return fleet.LayerRange{From: -1 - random.IntN(9), To: from}
	case 3:
		return fleet.LayerRange{From: from + 1, To: from}
	default:
		return fleet.LayerRange{From: from, To: min(from+random.IntN(5), layers)}
	}
}

// foreignMsg returns a message about one of a few engines, of values that anybody may have written, or a
// configuration with another number of layers.
func foreignMsg(random *rand.Rand, layers *int) placement.Msg {
	id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%d", random.IntN(9))))
	switch random.IntN(12) {
	case 0:
		*layers = 1 + random.IntN(16)
		return placement.CatalogMsg{Catalog: testCatalog(*layers)}
	case 1, 2:
		return placement.PlacedMsg{Upstream: id, Layers: foreignRange(random, *layers), Completed: random.IntN(2) == 0}
	case 3:
		return placement.OrderResultMsg{Upstream: id, Result: placement.Result(random.IntN(5)), Held: foreignRange(random, *layers)}
	case 4, 5, 6, 7:
		kinds := []string{"fast", "slow", "big", "tiny", "", "of another configuration"}
		return placement.FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{
			ID: id, Service: "writer", Address: id.String() + ":80", DataCentre: string(rune('a' + random.IntN(2))),
			Accelerator: kinds[random.IntN(len(kinds))], Held: foreignRange(random, *layers), Withheld: random.IntN(8) == 0,
		}}}}
	default:
		return placement.TickMsg{}
	}
}

// Guards against one entry, report or datagram that ends the process of every node, again after each start:
// its layers are none of the model's, and the planner uses them as indexes. They may also be those of a
// former configuration with more layers.
func TestForeignLayersEndNoPlan(t *testing.T) {
	const seeds = 400
	var failed []error
	for seed := range uint64(seeds) {
		if err := planWithForeignLayers(seed); err != nil {
			failed = append(failed, err)
		}
	}
	if len(failed) > 0 {
		t.Errorf("%d of %d seeds failed, the first: %v", len(failed), seeds, failed[0])
	}
}

// planWithForeignLayers sends random messages to a planner, and returns an error if it panics or orders layers
// that the model does not have.
func planWithForeignLayers(seed uint64) (err error) {
	const steps = 120
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("seed %d: planner panicked: %v", seed, cause)
		}
	}()
	random := rand.New(rand.NewPCG(seed, 84))
	layers, now := 12, clock.Millis(0)
	model := placement.New()
	model.Update(now, placement.CatalogMsg{Catalog: testCatalog(layers)})
	for range steps {
		now = now.Add(clock.Millis(random.IntN(900)))
		for _, o := range model.Update(now, foreignMsg(random, &layers)) {
			if o.Layers.From < 0 || o.Layers.To > layers || o.Layers.Empty() {
				return errors.Newf("seed %d: got order %+v for a model of %d layers", seed, o, layers)
			}
		}
		model.Coverage(now)
	}
	return nil
}

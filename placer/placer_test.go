package placer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/placer"
)

// promptEngines carry out every order at once.
type promptEngines struct {
	mu   sync.Mutex
	held map[string]fleet.LayerRange
}

func (e *promptEngines) State(_ context.Context, address string, _ fleet.Incarnation) (placer.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placer.State{Held: e.held[address]}, nil
}

func (e *promptEngines) Place(_ context.Context, address string, _ fleet.Incarnation, layers fleet.LayerRange, _ uint64) (placer.Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[address] = layers
	return placer.Taken, nil
}

func (e *promptEngines) ordered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

const (
	// manyEngines are more than the orders and messages that waited for each other.
	manyEngines = 600
	// aCentre is how many of them stand in a data centre.
	aCentre = 6
)

// emptyEngines are the entries of engines that hold nothing.
func emptyEngines() []fleet.Change {
	changes := make([]fleet.Change, manyEngines)
	for i := range changes {
		id := fmt.Sprintf("e%03d", i)
		changes[i] = fleet.Change{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{
			ID: fleet.IncarnationByID(fleet.ID(id)), Address: id, Service: "writer", Accelerator: "k", DataCentre: fmt.Sprintf("dc-%d", i/aCentre),
		}}
	}
	return changes
}

func smallModel() *catalog.Catalog {
	return catalog.New(1, catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
		Layers: 10, LayerMB: 100, TokenBytes: 1000, StepMS: 1,
		Accelerators: map[string]catalog.Accelerator{"k": {Name: "k", MemoryMB: 500, StepFactor: 1}},
	}}))
}

// After a start of 99 nodes and 418 empty engines, some nodes used upstreams long after
// these had left, until they were stopped. The first plan had more orders than may wait
// for those who give them. The planner waited for room there; who gave the orders waited
// for room to tell it what came of them; and the follower of the list, who tells it what
// has changed, waited behind them, for ever. The logs of all nodes proved it: each that
// had planned over 264 orders at a time had no change of the list from then on.
func TestMoreOrdersThanMayWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := clocktest.NewClock()
		engines := &promptEngines{held: make(map[string]fleet.LayerRange)}
		var p *placer.Placer
		placed := func(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
			p.Tell(placement.PlacedMsg{Upstream: upstream, Layers: layers, Holds: holds})
		}
		p = placer.New(placement.New(placement.WithStart(c.Now())), engines, c, logging.Nop().Logger, placed)
		go func() { _ = p.Run(ctx) }()
		p.Tell(placement.CatalogMsg{Catalog: smallModel()})
		p.Tell(placement.FleetMsg{Changes: emptyEngines()})
		time.Sleep(time.Minute)
		if got := engines.ordered(); got != manyEngines {
			t.Errorf("got %d engines ordered to hold something, want %d", got, manyEngines)
		}
	})
}

// While a plan is sought, which takes seconds on the smallest VMs, who tells the planner
// something goes on: the follower of the list has others to tell too.
func TestTellingDoesNotWaitForThePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clocktest.NewClock()
		// Nobody runs this one, as if it sought a plan all the while.
		p := placer.New(placement.New(), &promptEngines{}, c, logging.Nop().Logger, func(fleet.Incarnation, fleet.LayerRange, bool) {})
		told := 0
		go func() {
			for _, change := range emptyEngines() {
				p.Tell(placement.FleetMsg{Changes: []fleet.Change{change}})
				told++
			}
		}()
		synctest.Wait()
		if told != manyEngines {
			t.Errorf("got %d changes told, want %d", told, manyEngines)
		}
	})
}

// slowEngines take an order after a while, and count the orders.
type slowEngines struct {
	promptEngines
	orders int
}

// orderTakes is how long an engine takes to answer.
const orderTakes = 2 * time.Millisecond

func (e *slowEngines) State(ctx context.Context, address string, upstream fleet.Incarnation) (placer.State, error) {
	time.Sleep(orderTakes)
	return e.promptEngines.State(ctx, address, upstream)
}

func (e *slowEngines) Place(ctx context.Context, address string, upstream fleet.Incarnation, layers fleet.LayerRange, taken uint64) (placer.Result, error) {
	time.Sleep(orderTakes)
	e.mu.Lock()
	e.orders++
	e.mu.Unlock()
	return e.promptEngines.Place(ctx, address, upstream, layers, taken)
}

// Where a plan takes longer than a turn, several nodes find the same one. 912 engines
// then got 3,400 orders, each of which is paid for: all gave theirs in the same sequence,
// at the same moments. They are to share them: each begins elsewhere, and what another
// node has ordered by then is not ordered again.
func TestPlannersOfOnePlanShareItsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := clocktest.NewClock()
		engines := &slowEngines{promptEngines: promptEngines{held: make(map[string]fleet.LayerRange)}}
		var placers []*placer.Placer
		placed := func(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
			for _, p := range placers {
				p.Tell(placement.PlacedMsg{Upstream: upstream, Layers: layers, Holds: holds})
			}
		}
		for seed := range uint64(3) {
			model := placement.New(placement.WithStart(c.Now()))
			placers = append(placers, placer.New(model, engines, c, logging.Nop().Logger, placed, placer.WithSeed(200*seed)))
		}
		for _, p := range placers {
			go func() { _ = p.Run(ctx) }()
			p.Tell(placement.CatalogMsg{Catalog: smallModel()})
			p.Tell(placement.FleetMsg{Changes: emptyEngines()})
		}
		time.Sleep(time.Minute)
		if got := engines.ordered(); got != manyEngines {
			t.Errorf("got %d engines ordered to hold something, want %d", got, manyEngines)
		}
		if got := engines.orders; got > manyEngines {
			t.Errorf("got %d orders to %d engines, want one each", got, manyEngines)
		}
	})
}

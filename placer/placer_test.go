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

// immediateEngines carry out every order at once.
type immediateEngines struct {
	mu   sync.Mutex
	held map[string]fleet.LayerRange
}

func (e *immediateEngines) State(_ context.Context, address string, _ fleet.Incarnation) (placer.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placer.State{Held: e.held[address]}, nil
}

func (e *immediateEngines) Place(_ context.Context, address string, _ fleet.Incarnation, layers fleet.LayerRange, _ uint64) (placer.Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[address] = layers
	return placer.Taken, nil
}

func (e *immediateEngines) orderedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

const (
	// engineCount are more than the orders and messages that waited for each other.
	engineCount = 600
	// enginesPerDataCentre is how many of them stand in a data centre.
	enginesPerDataCentre = 6
)

// emptyEngineChanges are the entries of engines that hold nothing.
func emptyEngineChanges() []fleet.Change {
	changes := make([]fleet.Change, engineCount)
	for i := range changes {
		id := fmt.Sprintf("e%03d", i)
		changes[i] = fleet.Change{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{
			ID: fleet.IncarnationByID(fleet.ID(id)), Address: id, Service: "writer", Accelerator: "k", DataCentre: fmt.Sprintf("dc-%d", i/enginesPerDataCentre),
		}}
	}
	return changes
}

func smallCatalog() *catalog.Catalog {
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
		engines := &immediateEngines{held: make(map[string]fleet.LayerRange)}
		var p *placer.Placer
		placed := func(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
			p.Send(placement.PlacedMsg{Upstream: upstream, Layers: layers, Completed: holds})
		}
		p = placer.New(placement.New(placement.WithStart(c.Now())), engines, c, logging.Nop().Logger, placed)
		go func() { _ = p.Run(ctx) }()
		p.Send(placement.CatalogMsg{Catalog: smallCatalog()})
		p.Send(placement.FleetMsg{Changes: emptyEngineChanges()})
		time.Sleep(time.Minute)
		if got := engines.orderedCount(); got != engineCount {
			t.Errorf("got %d engines ordered to hold something, want %d", got, engineCount)
		}
	})
}

// While a plan is sought, which takes seconds on the smallest VMs, who tells the planner
// something goes on: the follower of the list has others to tell too.
func TestTellingDoesNotWaitForThePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clocktest.NewClock()
		// Nobody runs this one, as if it sought a plan all the while.
		p := placer.New(placement.New(), &immediateEngines{}, c, logging.Nop().Logger, func(fleet.Incarnation, fleet.LayerRange, bool) {})
		told := 0
		go func() {
			for _, change := range emptyEngineChanges() {
				p.Send(placement.FleetMsg{Changes: []fleet.Change{change}})
				told++
			}
		}()
		synctest.Wait()
		if told != engineCount {
			t.Errorf("got %d changes told, want %d", told, engineCount)
		}
	})
}

// slowEngines take an order after a while, and count the orders.
type slowEngines struct {
	immediateEngines
	orderCount int
}

// responseDelay is how long an engine takes to answer.
const responseDelay = 2 * time.Millisecond

func (e *slowEngines) State(ctx context.Context, address string, upstream fleet.Incarnation) (placer.State, error) {
	time.Sleep(responseDelay)
	return e.immediateEngines.State(ctx, address, upstream)
}

func (e *slowEngines) Place(ctx context.Context, address string, upstream fleet.Incarnation, layers fleet.LayerRange, taken uint64) (placer.Result, error) {
	time.Sleep(responseDelay)
	e.mu.Lock()
	e.orderCount++
	e.mu.Unlock()
	return e.immediateEngines.Place(ctx, address, upstream, layers, taken)
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
		engines := &slowEngines{immediateEngines: immediateEngines{held: make(map[string]fleet.LayerRange)}}
		var placers []*placer.Placer
		placed := func(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
			for _, p := range placers {
				p.Send(placement.PlacedMsg{Upstream: upstream, Layers: layers, Completed: holds})
			}
		}
		for seed := range uint64(3) {
			model := placement.New(placement.WithStart(c.Now()))
			placers = append(placers, placer.New(model, engines, c, logging.Nop().Logger, placed, placer.WithSeed(200*seed)))
		}
		for _, p := range placers {
			go func() { _ = p.Run(ctx) }()
			p.Send(placement.CatalogMsg{Catalog: smallCatalog()})
			p.Send(placement.FleetMsg{Changes: emptyEngineChanges()})
		}
		time.Sleep(time.Minute)
		if got := engines.orderedCount(); got != engineCount {
			t.Errorf("got %d engines ordered to hold something, want %d", got, engineCount)
		}
		if got := engines.orderCount; got > engineCount {
			t.Errorf("got %d orders to %d engines, want one each", got, engineCount)
		}
	})
}

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

// immediateEngines complete every order immediately.
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
	// engineCount exceeds the number of orders and messages at which the planner deadlocked.
	engineCount = 600
	// enginesPerDataCentre is the number of engines in each data centre.
	enginesPerDataCentre = 6
)

// emptyEngineChanges returns the list entries of engines without layers.
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

// Guards against a deadlock between the planner, its workers and the follower of the upstream
// list. The initial plan for 418 empty engines on 99 nodes had more orders than fit into a bounded
// queue. The planner waited for space in this queue, the workers waited for space to report
// results to the planner, and the follower waited behind them to report changes. Nodes that had
// planned more than 264 orders at a time got no change of the list any more and kept using
// upstreams long after these had left.
func TestPlanWithManyOrdersDoesNotDeadlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := clocktest.NewClock()
		engines := &immediateEngines{held: make(map[string]fleet.LayerRange)}
		var p *placer.Placer
		placed := func(upstream fleet.Incarnation, layers fleet.LayerRange, completed bool) {
			p.Send(placement.PlacedMsg{Upstream: upstream, Layers: layers, Completed: completed})
		}
		p = placer.New(placement.New(placement.WithStart(c.Now())), engines, c, logging.Nop().Logger, placed)
		go func() { _ = p.Run(ctx) }()
		p.Send(placement.CatalogMsg{Catalog: smallCatalog()})
		p.Send(placement.FleetMsg{Changes: emptyEngineChanges()})
		time.Sleep(time.Minute)
		if got := engines.orderedCount(); got != engineCount {
			t.Errorf("got %d engines with an order, want %d", got, engineCount)
		}
	})
}

// Send must not block while a plan is computed, which takes seconds on the smallest VMs. The
// follower of the list also has to notify other components.
func TestSendDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clocktest.NewClock()
		// This placer is not running, as if it were computing a plan all the time.
		p := placer.New(placement.New(), &immediateEngines{}, c, logging.Nop().Logger, func(fleet.Incarnation, fleet.LayerRange, bool) {})
		sent := 0
		go func() {
			for _, change := range emptyEngineChanges() {
				p.Send(placement.FleetMsg{Changes: []fleet.Change{change}})
				sent++
			}
		}()
		synctest.Wait()
		if sent != engineCount {
			t.Errorf("got %d changes sent without blocking, want %d", sent, engineCount)
		}
	})
}

// slowEngines respond after a delay and count the orders.
type slowEngines struct {
	immediateEngines
	orderCount int
}

// responseDelay is the time that an engine takes to respond.
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

// Nodes that compute the same plan must share its orders. If a plan takes longer than the delay of
// a node, several nodes compute the same one. When all nodes sent the orders in the same sequence,
// 912 engines got 3,400 orders, each of which is billed. Each node now starts at another order and
// skips the orders that other nodes have already given.
func TestPlannersShareOrdersOfSamePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := clocktest.NewClock()
		engines := &slowEngines{immediateEngines: immediateEngines{held: make(map[string]fleet.LayerRange)}}
		var placers []*placer.Placer
		placed := func(upstream fleet.Incarnation, layers fleet.LayerRange, completed bool) {
			for _, p := range placers {
				p.Send(placement.PlacedMsg{Upstream: upstream, Layers: layers, Completed: completed})
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
			t.Errorf("got %d engines with an order, want %d", got, engineCount)
		}
		if got := engines.orderCount; got > engineCount {
			t.Errorf("got %d orders for %d engines, want one for each", got, engineCount)
		}
	})
}

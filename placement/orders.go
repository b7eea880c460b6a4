package placement

import (
	"fmt"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// cachedPlan is a plan with the pipeline and engines for which it was computed. The same input is
// planned only once, since a first plan takes a quarter of a second on the smallest VMs.
type cachedPlan struct {
	shape   Shape
	engines []Engine
	orders  []Order
	// failed reports whether the plan for this input could not be computed. The orders are then those of the last
	// plan that could.
	failed bool
}

// needsOrders reports whether a service has empty engines that may get layers, or layers that have
// been without a holder for healDelay. It is cheap compared with a plan.
func (m *Model) needsOrders(now clock.Millis, s *catalog.Service) bool {
	shape, engines := ShapeOf(s.Pipeline), m.engines(now, s)
	var missing, empty bool
	if !m.contain("needs", planInput(s, engines), func() { missing, empty = newPlan(shape, engines).needs() }) {
		return len(m.remainingOrders(s, m.plans[s.Name].orders)) > 0
	}
	if !missing {
		delete(m.uncoveredSince, s.Name)
		return empty
	}
	if _, known := m.uncoveredSince[s.Name]; !known {
		m.uncoveredSince[s.Name] = now
	}
	return empty || m.canHeal(now, s.Name)
}

// canHeal reports whether layers of a service have been without a holder for long enough to move
// engines that already hold layers.
func (m *Model) canHeal(now clock.Millis, service string) bool {
	since, missing := m.uncoveredSince[service]
	return missing && now >= since.Add(healDelay)
}

// planService returns the orders for a service that may be given now.
func (m *Model) planService(now clock.Millis, s *catalog.Service) []OrderCmd {
	shape, engines := ShapeOf(s.Pipeline), m.engines(now, s)
	cached := m.plans[s.Name]
	if shape != cached.shape || !slices.Equal(engines, cached.engines) {
		orders := cached.orders
		ok := m.contain("plan", planInput(s, engines), func() { orders = m.compute(shape, engines) })
		cached = cachedPlan{shape: shape, engines: engines, orders: orders, failed: !ok}
		m.plans[s.Name] = cached
	}
	orders := cached.orders
	if cached.failed {
		orders = m.remainingOrders(s, orders)
	}
	var cmds []OrderCmd
	for _, o := range orders {
		u := m.upstreams[o.ID]
		if !u.Held.Empty() && !m.canHeal(now, s.Name) {
			continue
		}
		cmds = append(cmds, OrderCmd{Upstream: o.ID, Address: u.Address, Layers: o.Layers, ExpectedHeld: u.Held, Missing: o.Missing})
	}
	return cmds
}

// remainingOrders returns the orders of an earlier plan that still apply: the engine exists, fits them, and neither holds
// the layers nor has an order.
func (m *Model) remainingOrders(s *catalog.Service, orders []Order) []Order {
	var remaining []Order
	for _, o := range orders {
		u, known := m.upstreams[o.ID]
		_, pending := m.pending[o.ID]
		if !known || pending || u.Leaving || u.Withheld || u.Held == o.Layers || m.isLost(o.ID) {
			continue
		}
		u.Held = o.Layers
		if _, err := fleet.EngineOf(s, u); err == nil {
			remaining = append(remaining, o)
		}
	}
	return remaining
}

// planInput returns the text of a plan's input, for the log.
func planInput(s *catalog.Service, engines []Engine) func() string {
	return func() string {
		return fmt.Sprintf("service %s, %d layers, engines %+v", s.Name, s.Pipeline.Layers, engines)
	}
}

// engines returns the planner's input for the engines of a service that may hold layers.
func (m *Model) engines(now clock.Millis, s *catalog.Service) []Engine {
	var engines []Engine
	for id, u := range m.upstreams {
		if u.Service != s.Name || u.Leaving || m.isLost(id) || m.withheldTooLong(now, id) || slices.Contains(m.excludedDataCentres, u.DataCentre) {
			continue
		}
		fitting, err := fleet.EngineOf(s, u)
		if err != nil {
			continue
		}
		kind := fitting.Accelerator()
		e := Engine{
			ID: id, DataCentre: u.DataCentre, LayerCapacity: s.Pipeline.MaxLayers(kind), MemoryLayers: s.Pipeline.MemoryInLayers(kind),
			LayerTime: s.Pipeline.StepTime(kind, 1), ReadTime: s.Pipeline.ReadTime(kind, 1), held: fitting.Held(),
		}
		e.Reserved = m.ready && m.firstSeen[id] > m.readyAt && now < m.firstSeen[id].Add(reserveDuration)
		e.Fixed = u.Withheld
		if p, ordered := m.pending[id]; ordered {
			e.Fixed = true
			// An order may be older than the configuration.
			if after, err := fitting.Holding(p.layers); err == nil {
				e.ordered = after.Held()
			}
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b Engine) int { return a.ID.Compare(b.ID) })
	return engines
}

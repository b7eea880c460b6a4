package placement

import (
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
}

// needsOrders reports whether a service has empty engines that may get layers, or layers that have
// been without a holder for healDelay. It is cheap compared with a plan.
func (m *Model) needsOrders(now clock.Millis, s *catalog.Service) bool {
	p := newPlan(ShapeOf(s.Pipeline), m.engines(now, s))
	missing, empty := p.needs()
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
		cached = cachedPlan{shape: shape, engines: engines, orders: Plan(shape, engines)}
		m.plans[s.Name] = cached
	}
	var cmds []OrderCmd
	for _, o := range cached.orders {
		u := m.upstreams[o.ID]
		if !u.Held.Empty() && !m.canHeal(now, s.Name) {
			continue
		}
		cmds = append(cmds, OrderCmd{Upstream: o.ID, Address: u.Address, Layers: o.Layers, ExpectedHeld: u.Held, Missing: o.Missing})
	}
	return cmds
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

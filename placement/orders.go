package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// cachedPlan is a plan, and the pipeline and engines that it is for. A plan is sought
// once for the same: on the smallest VMs the first one takes a quarter of a second.
type cachedPlan struct {
	shape   Shape
	engines []Engine
	orders  []Order
}

// needsOrders tells whether a service has engines to be filled, or layers that have been
// without a holder for a while. It costs next to nothing.
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

// canHeal tells whether engines that are in use may be moved.
func (m *Model) canHeal(now clock.Millis, service string) bool {
	since, missing := m.uncoveredSince[service]
	return missing && now >= since.Add(healDelay)
}

// planService returns the orders for a service that may be given now.
func (m *Model) planService(now clock.Millis, s *catalog.Service) []OrderCmd {
	shape, engines := ShapeOf(s.Pipeline), m.engines(now, s)
	last := m.plans[s.Name]
	if shape != last.shape || !slices.Equal(engines, last.engines) {
		last = cachedPlan{shape: shape, engines: engines, orders: Plan(shape, engines)}
		m.plans[s.Name] = last
	}
	var cmds []OrderCmd
	for _, o := range last.orders {
		u := m.upstreams[o.ID]
		if !u.Held.Empty() && !m.canHeal(now, s.Name) {
			continue
		}
		cmds = append(cmds, OrderCmd{Upstream: o.ID, Address: u.Address, Layers: o.Layers, ExpectedHeld: u.Held, Missing: o.Missing})
	}
	return cmds
}

// engines returns a service's engines that may hold layers, as the planner is to
// see them.
func (m *Model) engines(now clock.Millis, s *catalog.Service) []Engine {
	var engines []Engine
	for id, u := range m.upstreams {
		kind, ok := s.Pipeline.Accelerators[u.Accelerator]
		if u.Service != s.Name || u.Leaving || !ok || m.isLost(id) || m.withheldTooLong(now, id) || slices.Contains(m.excludedDataCentres, u.DataCentre) {
			continue
		}
		e := Engine{
			ID: id, DataCentre: u.DataCentre, MaxLayers: s.Pipeline.MaxLayers(kind), MemoryLayers: s.Pipeline.MemoryInLayers(kind),
			LayerTime: s.Pipeline.StepTime(kind, 1), ReadTime: s.Pipeline.ReadTime(kind, 1), Held: u.Held,
		}
		e.Reserved = m.ready && m.firstSeen[id] > m.readyAt && now < m.firstSeen[id].Add(reserveDuration)
		e.Fixed = u.Withheld
		if p, waiting := m.pending[id]; waiting {
			e.Ordered, e.Fixed = p.layers, true
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b Engine) int { return a.ID.Compare(b.ID) })
	return engines
}

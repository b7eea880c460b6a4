package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// planned is a plan, and the pipeline and engines that it is for. A plan is sought
// once for the same: on the smallest VMs the first one takes a quarter of a second.
type planned struct {
	shape   Shape
	engines []Engine
	orders  []Order
}

// wants tells whether a service has engines to be filled, or layers that have been
// without a holder for a while. It costs next to nothing.
func (m *Model) wants(now clock.Millis, s *catalog.Service) bool {
	p := newPlan(ShapeOf(s.Pipeline), m.engines(now, s))
	missing, empty := p.wants()
	if !missing {
		delete(m.needSince, s.Name)
		return empty
	}
	if _, known := m.needSince[s.Name]; !known {
		m.needSince[s.Name] = now
	}
	return empty || m.mayHeal(now, s.Name)
}

// mayHeal tells whether engines that are in use may be moved.
func (m *Model) mayHeal(now clock.Millis, service string) bool {
	since, missing := m.needSince[service]
	return missing && now >= since.Add(healAfter)
}

// plan returns the orders for a service that may be given now.
func (m *Model) plan(now clock.Millis, s *catalog.Service) []OrderCmd {
	shape, engines := ShapeOf(s.Pipeline), m.engines(now, s)
	last := m.plans[s.Name]
	if shape != last.shape || !slices.Equal(engines, last.engines) {
		last = planned{shape: shape, engines: engines, orders: Plan(shape, engines)}
		m.plans[s.Name] = last
	}
	var cmds []OrderCmd
	for _, o := range last.orders {
		u := m.upstreams[o.ID]
		if !u.Held.Empty() && !m.mayHeal(now, s.Name) {
			continue
		}
		cmds = append(cmds, OrderCmd{Upstream: o.ID, Address: u.Address, Layers: o.Layers, Believed: u.Held, Missing: o.Missing})
	}
	return cmds
}

// engines returns a service's engines that may hold layers, as the planner is to
// see them.
func (m *Model) engines(now clock.Millis, s *catalog.Service) []Engine {
	var engines []Engine
	for id, u := range m.upstreams {
		kind, ok := s.Pipeline.Accelerators[u.Accelerator]
		if u.Service != s.Name || u.Leaving || !ok || m.lost(id) || m.withheld(now, id) || slices.Contains(m.elsewhere, u.DataCentre) {
			continue
		}
		e := Engine{
			ID: id, DataCentre: u.DataCentre, Most: s.Pipeline.MaxLayers(kind), Memory: s.Pipeline.MemoryInLayers(kind),
			LayerTime: s.Pipeline.StepTime(kind, 1), ReadTime: s.Pipeline.ReadTime(kind, 1), Held: u.Held,
		}
		e.Reserve = m.planned && m.seen[id] > m.plannedAt && now < m.seen[id].Add(reserveFor)
		e.Fixed = u.Withheld
		if p, waiting := m.pending[id]; waiting {
			e.Coming, e.Fixed = p.layers, true
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b Engine) int { return a.ID.Compare(b.ID) })
	return engines
}

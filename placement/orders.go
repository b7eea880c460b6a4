package placement

import (
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// plan returns the orders for a service that may be given now.
func (m *Model) plan(now clock.Millis, s *catalog.Service) []OrderCmd {
	engines := m.engines(now, s)
	orders := Plan(ShapeOf(s.Pipeline), engines)
	if len(orders) == 0 {
		orders = m.improve(now, s, engines)
	}
	need := false
	var cmds []OrderCmd
	for _, o := range orders {
		u := m.upstreams[o.ID]
		if !u.Held.Empty() {
			need = true
			if since, ok := m.needSince[s.Name]; !ok || now < since.Add(healAfter) {
				continue
			}
		}
		cmds = append(cmds, OrderCmd{Upstream: o.ID, Address: u.Address, Layers: o.Layers, Believed: u.Held, Missing: o.Missing})
	}
	m.noteNeed(now, s.Name, need)
	return cmds
}

// improve returns changes of a plan that stands, where they are worth their cost.
func (m *Model) improve(now clock.Millis, s *catalog.Service, engines []Engine) []Order {
	if now < m.changed.Add(improveAfter) || slices.Equal(engines, m.improved[s.Name]) {
		return nil
	}
	orders := Improve(ShapeOf(s.Pipeline), engines)
	if len(orders) == 0 {
		m.improved[s.Name] = engines
	}
	return orders
}

// noteNeed notes since when a service has had layers without a holder.
func (m *Model) noteNeed(now clock.Millis, service string, need bool) {
	if !need {
		delete(m.needSince, service)
		return
	}
	if _, ok := m.needSince[service]; !ok {
		m.needSince[service] = now
	}
}

// engines returns a service's engines that may hold layers, as the planner is to
// see them.
func (m *Model) engines(now clock.Millis, s *catalog.Service) []Engine {
	var engines []Engine
	for id, u := range m.upstreams {
		kind, ok := s.Pipeline.Accelerators[u.Accelerator]
		if u.Service != s.Name || u.Leaving || !ok || m.lost(id) {
			continue
		}
		e := Engine{
			ID: id, DataCentre: u.DataCentre, Most: s.Pipeline.MostLayers(kind), Memory: s.Pipeline.LayersOf(kind),
			LayerTime: s.Pipeline.StepTime(kind, 1), ReadTime: s.Pipeline.ReadTime(kind, 1), Held: u.Held,
		}
		e.Reserve = m.planned && m.seen[id] > m.plannedAt && now < m.seen[id].Add(reserveFor)
		if p, waiting := m.pending[id]; waiting {
			e.Coming, e.Fixed = p.layers, true
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	return engines
}

package placement

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// plan returns the orders for a service that may be given now.
func (m *Model) plan(now clock.Millis, s *catalog.Service) []OrderCmd {
	engines := m.engines(now, s)
	orders := Plan(s.Pipeline.Layers, engines)
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
	return m.limitLoads(s, engines, cmds)
}

// limitLoads holds back orders for second holders while the store of the weights
// has enough to do: more loads than it serves at full speed slow each other, and
// the layers that are missing would come later. Those go out at once, since a
// load that is believed to go on may long have failed. Where nothing is held yet
// all engines load together, before the first request.
func (m *Model) limitLoads(s *catalog.Service, engines []Engine, cmds []OrderCmd) []OrderCmd {
	holds := slices.ContainsFunc(engines, func(e Engine) bool { return !e.Held.Empty() })
	if s.Pipeline.LoadsAtOnce == 0 || !holds {
		return cmds
	}
	free := s.Pipeline.LoadsAtOnce
	for i := range engines {
		if engines[i].Fixed {
			free--
		}
	}
	slices.SortStableFunc(cmds, func(a, b OrderCmd) int { return cmp.Compare(b.Missing, a.Missing) })
	urgent := 0
	for urgent < len(cmds) && cmds[urgent].Missing > 0 {
		urgent++
	}
	return cmds[:min(max(free, urgent), len(cmds))]
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
			ID: id, DataCentre: u.DataCentre, Most: s.Pipeline.MostLayers(kind),
			LayerTime: s.Pipeline.StepTime(kind, 1), Held: u.Held,
		}
		e.Reserve = m.planned && m.seen[id] > m.plannedAt && now < m.seen[id].Add(reserveFor)
		if p, waiting := m.pending[id]; waiting {
			e.Coming, e.Fixed = p.layers, true
		}
		engines = append(engines, e)
	}
	return engines
}

package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// departAfter is how long streams may go on over an engine that is leaving
	// before they are moved. It serves for two seconds at least; most streams
	// end in that time, and a move while it still serves costs a short pause
	// instead of a stall.
	departAfter clock.Millis = 1200
	// departEach bounds the streams that are moved at each tick, since all of
	// them are read again by the same few engines.
	departEach = 6
)

// noteDeparture notes that an engine is leaving, or has no entry any more.
func (m *Model) noteDeparture(id fleet.Incarnation) {
	if _, known := m.departing[id]; !known {
		m.departing[id] = m.now
	}
}

// placed takes the layers that an engine gives up out of use, and moves the
// streams that pass them at once: the engine loads the new ones only when they
// have gone.
func (m *Model) placed(msg PlacedMsg) {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return
	}
	if msg.Holds {
		m.holds(u, msg.Layers)
		return
	}
	kept := u.entry.Held.Overlap(msg.Layers)
	if kept == u.entry.Held {
		return
	}
	u.entry.Held = kept
	m.departing[msg.Upstream] = m.now.Sub(departAfter)
}

// holds takes in that an engine holds layers, before the list shows it.
func (m *Model) holds(u *upstream, layers fleet.LayerRange) {
	u.entry.Held = layers
	u.heldAt = m.now
	u.fullUntil = 0
	delete(m.departing, u.entry.ID)
	if m.catalog != nil {
		u.measure(m.catalog.Service(u.entry.Service))
	}
}

// depart moves streams off engines that have been leaving for a while.
func (m *Model) depart() []Cmd {
	var cmds []Cmd
	for _, id := range slices.SortedFunc(maps.Keys(m.departing), fleet.Incarnation.Compare) {
		if m.now < m.departing[id].Add(departAfter) {
			continue
		}
		if !m.departFrom(id, &cmds) {
			delete(m.departing, id)
		}
	}
	return cmds
}

// departFrom moves some streams off an engine, and reports whether any are left
// that may still be moved.
func (m *Model) departFrom(id fleet.Incarnation, cmds *[]Cmd) bool {
	left := false
	for _, request := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[request]
		if !r.passes(id) || r.parts[0].ID == id || r.moves >= mostMoves {
			continue
		}
		left = true
		if len(*cmds) >= departEach {
			break
		}
		*cmds = append(*cmds, m.move(r, id)...)
	}
	return left
}

// passes tells whether the attempt under way passes an engine.
func (r *request) passes(id fleet.Incarnation) bool {
	return slices.ContainsFunc(r.parts, func(p chain.Stage) bool { return p.ID == id })
}

package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// departDelay is how long streams may go on over an engine that is leaving
	// before they are moved. It serves for two seconds at least; most streams
	// end in that time, and a move while it still serves costs a short pause
	// instead of a stall.
	departDelay clock.Millis = 1200
	// migrationsPerTick bounds the streams that are moved at each tick, since all of
	// them are read again by the same few engines.
	migrationsPerTick = 6
)

// markDeparting notes that an engine is leaving, or has no entry any more.
func (m *Model) markDeparting(id fleet.Incarnation) {
	if _, known := m.departingSince[id]; !known {
		m.departingSince[id] = m.now
	}
}

// placementChanged takes the layers that an engine gives up out of use, and moves the
// streams that pass them at once: the engine loads the new ones only when they
// have gone.
func (m *Model) placementChanged(msg PlacedMsg) {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return
	}
	if msg.Completed {
		m.layersLoaded(u, msg.Layers)
		return
	}
	kept := u.entry.Held.Overlap(msg.Layers)
	if kept == u.entry.Held {
		return
	}
	u.entry.Held = kept
	m.departingSince[msg.Upstream] = m.now.Sub(departDelay)
}

// layersLoaded takes in that an engine holds layers, before the list shows it.
func (m *Model) layersLoaded(u *upstream, layers fleet.LayerRange) {
	u.entry.Held = layers
	u.layersReportedAt = m.now
	u.fullUntil = 0
	delete(m.departingSince, u.entry.ID)
	if m.catalog != nil {
		u.applyService(m.catalog.Service(u.entry.Service))
	}
}

// migrateDeparting moves streams off engines that have been leaving for a while.
func (m *Model) migrateDeparting() []Cmd {
	var cmds []Cmd
	for _, id := range slices.SortedFunc(maps.Keys(m.departingSince), fleet.Incarnation.Compare) {
		if m.now < m.departingSince[id].Add(departDelay) {
			continue
		}
		if !m.migrateFrom(id, &cmds) {
			delete(m.departingSince, id)
		}
	}
	return cmds
}

// migrateFrom moves some streams off an engine, and reports whether any are left
// that may still be moved.
func (m *Model) migrateFrom(id fleet.Incarnation, cmds *[]Cmd) bool {
	left := false
	for _, request := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[request]
		if !r.passesThrough(id) || r.chain[0].ID == id || r.migrations >= maxMigrations {
			continue
		}
		left = true
		if len(*cmds) >= migrationsPerTick {
			break
		}
		*cmds = append(*cmds, m.migrate(r, id)...)
	}
	return left
}

// passesThrough tells whether the attempt under way passes an engine.
func (r *request) passesThrough(id fleet.Incarnation) bool {
	return slices.ContainsFunc(r.chain, func(p chain.Stage) bool { return p.ID == id })
}

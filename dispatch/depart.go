package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// departDelay is how long streams may continue on an engine that is leaving before they
	// migrate. The engine serves for at least two seconds. Most streams end in that time, and
	// migrating the others while the engine still serves costs a short pause instead of a stall.
	departDelay clock.Millis = 1200
	// migrationsPerTick bounds the streams that migrate at each tick, since the same few engines
	// must read the prompts of all of them again. Streams whose route bounds the pause migrate at
	// the rate of the engines that take over instead (recovery.go).
	migrationsPerTick = 6
)

// markDeparting records that an engine is leaving or has lost its entry.
func (m *Model) markDeparting(id fleet.Incarnation) {
	if _, known := m.departingSince[id]; !known {
		m.departingSince[id] = m.now
	}
}

// placementChanged stops using the layers that an engine drops and migrates the streams through
// them at the next tick, because the engine loads its new layers only after those streams have
// left. Layers that are loaded may be what requests wait for.
func (m *Model) placementChanged(msg PlacedMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return nil
	}
	if msg.Completed {
		m.layersLoaded(u, msg.Layers)
		return m.sendCapacityWaiters(u.entry.Service)
	}
	m.loadOrdered(u, msg.Layers)
	kept := u.entry.Held.Overlap(msg.Layers)
	if kept == u.entry.Held {
		return nil
	}
	u.setHeld(kept)
	m.departingSince[msg.Upstream] = m.now.Sub(departDelay)
	return nil
}

// layersLoaded records the layers that an engine holds before the list shows them.
func (m *Model) layersLoaded(u *upstream, layers fleet.LayerRange) {
	u.setHeld(layers)
	u.layersReportedAt = m.now
	u.fullUntil = 0
	u.loading = loadOrder{}
	delete(m.departingSince, u.entry.ID)
	if m.catalog != nil {
		u.applyService(m.catalog.Service(u.entry.Service))
	}
}

// migrateDeparting migrates streams off the engines that have been leaving for departDelay.
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

// migrateFrom migrates some streams off an engine and reports whether others remain that may
// still migrate.
func (m *Model) migrateFrom(id fleet.Incarnation, cmds *[]Cmd) bool {
	remaining := false
	for _, request := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[request]
		if !r.passesThrough(id) || r.chain[0].ID == id || r.migrations >= maxMigrations {
			continue
		}
		remaining = true
		if r.boundsPauses() {
			*cmds = append(*cmds, m.scheduleDeparture(r, id)...)
			continue
		}
		if len(*cmds) >= migrationsPerTick {
			break
		}
		*cmds = append(*cmds, m.migrate(r, id)...)
	}
	return remaining
}

// passesThrough reports whether the chain of the current attempt contains an engine.
func (r *request) passesThrough(id fleet.Incarnation) bool {
	return slices.ContainsFunc(r.chain, func(p chain.Stage) bool { return p.ID == id })
}

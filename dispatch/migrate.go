package dispatch

import (
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// maxMigrations bounds the migrations of one request over all attempts.
const maxMigrations = 3

// stalled migrates a stream away from the engine that stalls it. Unless the engine is merely
// slow, it becomes suspected, and the other streams through it check their progress.
func (m *Model) stalled(msg StalledMsg) []Cmd {
	r := m.inAttempt(msg.Request, msg.Attempt)
	if r == nil {
		return nil
	}
	engine, ok := r.upstreamAt(msg.FaultyAddress)
	if !ok {
		return nil
	}
	r.recordPause(m.now, msg.LastEventAt, msg.Events)
	u := m.upstreams[engine]
	switch {
	case msg.Slow || u == nil:
		return m.migrate(r, engine)
	case msg.Provisional:
		return append(m.suspectProvisionally(u, r), m.migrate(r, engine)...)
	}
	return append(m.suspect(u, CauseNoProgress, r), m.migrate(r, engine)...)
}

// migrate moves a running stream to a chain without one engine: at once, or in its turn if the
// route bounds the pause. The first engine of the chain stays, because the stream comes from there.
func (m *Model) migrate(r *request, avoided fleet.Incarnation) []Cmd {
	if r.boundsPauses() {
		return m.awaitMigration(r, avoided, r.pauseLateAt(), r.holdUntil())
	}
	if !r.mayMigrateFrom(avoided) {
		return nil
	}
	parts, err := m.detourChain(r, avoided)
	if err != nil {
		return nil
	}
	return m.startMigration(r, avoided, parts, nil)
}

// mayMigrateFrom reports whether a running stream may be migrated off an engine.
func (r *request) mayMigrateFrom(avoided fleet.Incarnation) bool {
	return !r.migrating && r.migrations < maxMigrations && len(r.chain) > 0 && r.chain[0].ID != avoided
}

// startMigration orders a running stream to continue over another chain.
func (m *Model) startMigration(r *request, avoided fleet.Incarnation, parts []chain.Stage, report *Recovery) []Cmd {
	m.addToBacklog(r, parts)
	r.migrating = true
	r.migrations++
	m.reserve(r, parts)
	return []Cmd{MigrateCmd{Request: r.arrival.Request, Attempt: r.attempts, Chain: parts, FromEngine: avoided, Recovery: report}}
}

// detourChain builds a chain that avoids an engine and keeps the first part of the current chain.
func (m *Model) detourChain(r *request, avoided fleet.Incarnation) ([]chain.Stage, error) {
	first := r.chain[0]
	holders := m.holders(r, m.byService[r.service.Name], (*upstream).healthy, first.ID, avoided)
	for _, p := range r.chain[1:] {
		for i := range holders {
			if holders[i].ID == p.ID {
				holders[i].FreeMemory += r.memoryTokens * float64(p.Layers.Len())
				holders[i].Penalty -= keepEngineBonus
			}
		}
	}
	tail, err := chain.BuildFrom(first.Layers.To, r.service.Pipeline.Layers, r.memoryTokens, m.dataCentre, holders)
	if err != nil {
		return nil, err
	}
	return append([]chain.Stage{first}, tail...), nil
}

// keepEngineBonus is subtracted from the cost of the engines that a stream already uses, since
// they have its tokens in memory; in ms per token.
const keepEngineBonus = 3.0

// migrated handles the result of a migration. A stream that could not migrate is sent again
// elsewhere once its session cancels the attempt.
func (m *Model) migrated(msg MigratedMsg) []Cmd {
	r := m.inAttempt(msg.Request, msg.Attempt)
	if r == nil {
		return nil
	}
	r.migrating = false
	if msg.Result != MigrationRefused {
		return nil
	}
	m.removeFromBacklog(r)
	engine, ok := r.upstreamAt(msg.FaultyAddress)
	if !ok {
		return nil
	}
	if u := m.upstreams[engine]; u != nil {
		u.recordRefusal(m.now)
	}
	return m.migrate(r, engine)
}

package dispatch

import (
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// maxMigrations bounds how often one request's stream is moved, over all attempts.
const maxMigrations = 3

// stalled moves a stream away from an engine that holds it up. One that is not
// only slow is suspected, and the other streams that pass it are told.
func (m *Model) stalled(msg StalledMsg) []Cmd {
	r := m.requests[msg.Request]
	if r == nil || msg.Attempt != r.attempts {
		return nil
	}
	at, ok := r.upstreamAt(msg.FaultyAddress)
	if !ok {
		return nil
	}
	u := m.upstreams[at]
	if msg.Slow || u == nil {
		return m.migrate(r, at)
	}
	cmds := m.suspect(u, CauseNoProgress, r)
	return append(cmds, m.migrate(r, at)...)
}

// migrate sends a running stream around an engine. The first engine of a chain
// stays, since the stream comes from there.
func (m *Model) migrate(r *request, away fleet.Incarnation) []Cmd {
	if r.migrating || r.migrations >= maxMigrations || len(r.chain) == 0 || r.chain[0].ID == away {
		return nil
	}
	parts, err := m.detourChain(r, away)
	if err != nil {
		return nil
	}
	r.migrating = true
	r.migrations++
	m.reserve(r, parts)
	return []Cmd{MigrateCmd{Request: r.arrival.Request, Attempt: r.attempts, Chain: parts, FromEngine: away}}
}

// detourChain builds a chain whose first part is the one in use.
func (m *Model) detourChain(r *request, away fleet.Incarnation) ([]chain.Stage, error) {
	first := r.chain[0]
	holders := m.holders(r, m.byService[r.service.Name], (*upstream).healthy, first.ID, away)
	for _, p := range r.chain[1:] {
		for i := range holders {
			if holders[i].ID == p.ID {
				holders[i].FreeMemory += r.memoryTokens * float64(p.Layers.Len())
				holders[i].Penalty -= keepEngineBonus
			}
		}
	}
	rest, err := chain.BuildFrom(first.Layers.To, r.service.Pipeline.Layers, r.memoryTokens, m.dataCentre, holders)
	if err != nil {
		return nil, err
	}
	return append([]chain.Stage{first}, rest...), nil
}

// keepEngineBonus speaks for the engines that a stream passes already, since they
// have its tokens in memory; in ms for each token.
const keepEngineBonus = 3.0

// migrated takes in what came of a move. A stream that could not be moved is sent
// again elsewhere once the shell gives the attempt up.
func (m *Model) migrated(msg MigratedMsg) []Cmd {
	r := m.requests[msg.Request]
	if r == nil || msg.Attempt != r.attempts {
		return nil
	}
	r.migrating = false
	if msg.Result != MigrationRefused {
		return nil
	}
	at, ok := r.upstreamAt(msg.FaultyAddress)
	if !ok {
		return nil
	}
	if u := m.upstreams[at]; u != nil {
		u.recordRefusal(m.now)
	}
	return m.migrate(r, at)
}

package dispatch

import (
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// mostMoves bounds how often one request's stream is moved, over all attempts.
const mostMoves = 3

// stalled moves a stream away from an engine that holds it up. One that is not
// only slow is suspected, and the other streams that pass it are told.
func (m *Model) stalled(msg StalledMsg) []Cmd {
	r := m.requests[msg.Request]
	if r == nil || msg.Attempt != r.sends {
		return nil
	}
	at, ok := r.at(msg.At)
	if !ok {
		return nil
	}
	u := m.upstreams[at]
	if msg.Slow || u == nil {
		return m.move(r, at)
	}
	cmds := m.suspect(u, Slow, r)
	return append(cmds, m.move(r, at)...)
}

// move sends a running stream around an engine. The first engine of a chain
// stays, since the stream comes from there.
func (m *Model) move(r *request, away fleet.Incarnation) []Cmd {
	if r.moving || r.moves >= mostMoves || len(r.parts) == 0 || r.parts[0].ID == away {
		return nil
	}
	parts, err := m.detour(r, away)
	if err != nil {
		return nil
	}
	r.moving = true
	r.moves++
	m.reserve(r, parts)
	return []Cmd{MoveCmd{Request: r.msg.Request, Attempt: r.sends, Chain: parts, Away: away}}
}

// detour builds a chain whose first part is the one in use.
func (m *Model) detour(r *request, away fleet.Incarnation) ([]chain.Stage, error) {
	first := r.parts[0]
	holders := m.holders(r, m.byService[r.service.Name], (*upstream).well, first.ID, away)
	for _, p := range r.parts[1:] {
		for i := range holders {
			if holders[i].ID == p.ID {
				holders[i].FreeMemory += r.tokens * float64(p.Layers.Len())
				holders[i].Penalty -= keepBonus
			}
		}
	}
	rest, err := chain.BuildFrom(first.Layers.To, r.service.Pipeline.Layers, r.tokens, m.dataCentre, holders)
	if err != nil {
		return nil, err
	}
	return append([]chain.Stage{first}, rest...), nil
}

// keepBonus speaks for the engines that a stream passes already, since they
// have its tokens in memory; in ms for each token.
const keepBonus = 3.0

// moved takes in what came of a move. A stream that could not be moved is sent
// again elsewhere once the shell gives the attempt up.
func (m *Model) moved(msg MovedMsg) []Cmd {
	r := m.requests[msg.Request]
	if r == nil || msg.Attempt != r.sends {
		return nil
	}
	r.moving = false
	if msg.Result != MoveRefused {
		return nil
	}
	at, ok := r.at(msg.At)
	if !ok {
		return nil
	}
	if u := m.upstreams[at]; u != nil {
		u.refused(m.now)
	}
	return m.move(r, at)
}

package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// tick plans, once the list is settled and others have had their chance.
func (m *Model) tick(now clock.Millis) []OrderCmd {
	if m.rests || now < m.idleUntil {
		return nil
	}
	if m.catalog == nil || !m.settled(now) {
		m.dueSince = 0
		return nil
	}
	for id, p := range m.pending {
		if now >= p.until {
			delete(m.pending, id)
			m.changes++
		}
	}
	var wanting []*catalog.Service
	m.catalog.EachService(func(s *catalog.Service) {
		if s.Pipeline != nil && m.wants(now, s) {
			wanting = append(wanting, s)
		}
	})
	if len(wanting) == 0 && len(m.needSince) == 0 {
		m.idleUntil = m.nextLook(now)
	}
	if !m.due(now, len(wanting) > 0) {
		return nil
	}
	return m.give(now, wanting)
}

// nextLook is when to look again if nothing happens: in a while, or when an order has
// lasted too long or an engine is kept in reserve no longer.
func (m *Model) nextLook(now clock.Millis) clock.Millis {
	next := now.Add(idleFor)
	for _, p := range m.pending {
		next = min(next, p.until)
	}
	for _, since := range m.withheldSince {
		if until := since.Add(withheldFor); until > now {
			next = min(next, until)
		}
	}
	for _, seen := range m.seen {
		if until := seen.Add(reserveFor); until > now {
			next = min(next, until)
		}
	}
	return next
}

// settled tells whether the list can be planned from: it has stood still while it was
// looked at, or has been waited for for long enough.
func (m *Model) settled(now clock.Millis) bool {
	if m.planned {
		return true
	}
	wait := stillFor
	for _, u := range m.upstreams {
		if !u.Held.Empty() {
			wait = takenOverFor
		}
	}
	// A list that nobody has looked at may have grown meanwhile.
	still := len(m.upstreams) > 0 && m.confirmed >= m.changed.Add(wait)
	// Orders are held back for the node's delay, and the list may go on growing
	// meanwhile.
	m.planned = still && now >= m.changed.Add(wait+m.delay) || now >= m.started.Add(longestWait)
	m.plannedAt = now
	return still || m.planned
}

// due tells whether it is this node's turn: others have left something to be ordered,
// and given no order, for its delay.
func (m *Model) due(now clock.Millis, wanted bool) bool {
	if !wanted {
		m.dueSince = 0
		return false
	}
	if m.dueSince == 0 {
		m.dueSince = now
	}
	return now >= m.dueSince.Add(m.delay)
}

// give plans for services, and returns the orders.
func (m *Model) give(now clock.Millis, services []*catalog.Service) []OrderCmd {
	var cmds []OrderCmd
	for _, s := range services {
		cmds = append(cmds, m.plan(now, s)...)
	}
	if len(cmds) == 0 {
		// What is wanted cannot be had now. Others get their turn again.
		m.dueSince = 0
	}
	for _, c := range cmds {
		m.changes++
		m.pending[c.Upstream] = pending{layers: c.Layers, until: now.Add(orderLasts)}
	}
	slices.SortFunc(cmds, func(a, b OrderCmd) int { return a.Upstream.Compare(b.Upstream) })
	return cmds
}

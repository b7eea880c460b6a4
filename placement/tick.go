package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// tick plans, once the list is settled and others have had their chance.
func (m *Model) tick(now clock.Millis) []OrderCmd {
	if m.standby || now < m.idleUntil {
		return nil
	}
	if m.catalog == nil || !m.listSettled(now) {
		m.dueSince = 0
		return nil
	}
	for id, p := range m.pending {
		if now >= p.until {
			delete(m.pending, id)
			m.changeCount++
		}
	}
	var wanting []*catalog.Service
	m.catalog.EachService(func(s *catalog.Service) {
		if s.Pipeline != nil && m.needsOrders(now, s) {
			wanting = append(wanting, s)
		}
	})
	if len(wanting) == 0 && len(m.uncoveredSince) == 0 {
		m.idleUntil = m.nextCheck(now)
	}
	if !m.isDue(now, len(wanting) > 0) {
		return nil
	}
	return m.issueOrders(now, wanting)
}

// nextCheck is when to look again if nothing happens: in a while, or when an order has
// lasted too long or an engine is kept in reserve no longer.
func (m *Model) nextCheck(now clock.Millis) clock.Millis {
	next := now.Add(maxIdle)
	for _, p := range m.pending {
		next = min(next, p.until)
	}
	for _, since := range m.withheldSince {
		if until := since.Add(withheldGracePeriod); until > now {
			next = min(next, until)
		}
	}
	for _, seen := range m.firstSeen {
		if until := seen.Add(reserveDuration); until > now {
			next = min(next, until)
		}
	}
	return next
}

// listSettled tells whether the list can be planned from: it has stood still while it was
// looked at, or has been waited for for long enough.
func (m *Model) listSettled(now clock.Millis) bool {
	if m.ready {
		return true
	}
	wait := emptyListStableFor
	for _, u := range m.upstreams {
		if !u.Held.Empty() {
			wait = populatedListStableFor
		}
	}
	// A list that nobody has looked at may have grown meanwhile.
	still := len(m.upstreams) > 0 && m.listConfirmedAt >= m.listChangedAt.Add(wait)
	// Orders are held back for the node's delay, and the list may go on growing
	// meanwhile.
	m.ready = still && now >= m.listChangedAt.Add(wait+m.delay) || now >= m.startedAt.Add(maxListWait)
	m.readyAt = now
	return still || m.ready
}

// isDue tells whether it is this node's turn: others have left something to be ordered,
// and given no order, for its delay.
func (m *Model) isDue(now clock.Millis, wanted bool) bool {
	if !wanted {
		m.dueSince = 0
		return false
	}
	if m.dueSince == 0 {
		m.dueSince = now
	}
	return now >= m.dueSince.Add(m.delay)
}

// issueOrders plans for services, and returns the orders.
func (m *Model) issueOrders(now clock.Millis, services []*catalog.Service) []OrderCmd {
	var cmds []OrderCmd
	for _, s := range services {
		cmds = append(cmds, m.planService(now, s)...)
	}
	if len(cmds) == 0 {
		// What is wanted cannot be had now. Others get their turn again.
		m.dueSince = 0
	}
	for _, c := range cmds {
		m.changeCount++
		m.pending[c.Upstream] = pendingOrder{layers: c.Layers, until: now.Add(orderTimeout)}
	}
	slices.SortFunc(cmds, func(a, b OrderCmd) int { return a.Upstream.Compare(b.Upstream) })
	return cmds
}

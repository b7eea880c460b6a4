package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// tick returns the orders of a plan if the list is settled and the delay of this node has passed.
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
	var services []*catalog.Service
	m.catalog.EachService(func(s *catalog.Service) {
		if s.Pipeline != nil && m.needsOrders(now, s) {
			services = append(services, s)
		}
	})
	if len(services) == 0 && len(m.uncoveredSince) == 0 {
		m.idleUntil = m.nextCheck(now)
	}
	if !m.isDue(now, len(services) > 0) {
		return nil
	}
	return m.issueOrders(now, services)
}

// nextCheck returns the time of the next check if no message arrives: after maxIdle, or earlier if
// a pending order, a grace period or a reservation ends.
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

// listSettled reports whether the list is complete enough for a plan: either it was confirmed
// unchanged for long enough, or maxListWait has passed.
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
	// An unconfirmed list may have grown in the meantime.
	stable := len(m.upstreams) > 0 && m.listConfirmedAt >= m.listChangedAt.Add(wait)
	// The list may still grow during the delay of this node.
	m.ready = stable && now >= m.listChangedAt.Add(wait+m.delay) || now >= m.startedAt.Add(maxListWait)
	m.readyAt = now
	return stable || m.ready
}

// isDue reports whether this node may give orders: orders have been needed for its delay, and no
// other node has given any.
func (m *Model) isDue(now clock.Millis, needed bool) bool {
	if !needed {
		m.dueSince = 0
		return false
	}
	if m.dueSince == 0 {
		m.dueSince = now
	}
	return now >= m.dueSince.Add(m.delay)
}

// issueOrders plans the given services and returns the orders.
func (m *Model) issueOrders(now clock.Millis, services []*catalog.Service) []OrderCmd {
	var cmds []OrderCmd
	for _, s := range services {
		cmds = append(cmds, m.planService(now, s)...)
	}
	if len(cmds) == 0 {
		// The needed orders are not possible now. Other nodes get their turn again.
		m.dueSince = 0
	}
	for _, c := range cmds {
		m.changeCount++
		m.pending[c.Upstream] = pendingOrder{layers: c.Layers, until: now.Add(fleet.OrderShownWithin)}
	}
	slices.SortFunc(cmds, func(a, b OrderCmd) int { return a.Upstream.Compare(b.Upstream) })
	return cmds
}

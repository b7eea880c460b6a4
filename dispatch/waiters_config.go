package dispatch

import (
	"cmp"
	"slices"
)

// updateWaiter applies the present route and pipeline to a waiting request: it must not be sent over a
// chain of the former layers, nor without a key that the route has come to require.
func (m *Model) updateWaiter(r *request) {
	if route, err := m.catalog.Route(r.arrival.Host, r.arrival.Path); err == nil && route.Kind == r.route.Kind {
		r.route = route
		r.requiresKey = m.catalog.HasAccounts() && !route.Anonymous
	}
	if s := m.catalog.Service(r.service.Name); s != nil && s.Pipeline != nil && r.service.Pipeline != nil {
		r.service = s
	}
}

// requeueWaiters applies a new configuration to the requests that wait for capacity or for a slot. Those that
// have not been admitted are refused if their keys have become invalid. The others are ordered by their
// present accounts and priorities.
func (m *Model) requeueWaiters() []Cmd {
	var waiting []*request
	for _, r := range m.requests {
		if r.waits() {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.position.ticket, b.position.ticket) })
	var cmds []Cmd
	changed := false
	for _, r := range waiting {
		m.updateWaiter(r)
		if !r.admittance.settled {
			cmds = append(cmds, m.checkKey(r)...)
		}
		changed = changed || r.waits() && (r.queueLevel() != r.position.level || r.account.Name != r.position.account)
	}
	if !changed {
		return cmds
	}
	for _, r := range waiting {
		if r.waits() {
			target := r.position.queue
			r.dequeue()
			m.enqueue(target, r)
		}
	}
	return cmds
}

package core

import (
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// listReceived takes in the platform's list of VMs.
func (m *Model) listReceived(msg ListMsg) {
	m.pool.Update(m.now, msg.Upstreams)
	for _, l := range m.lanes {
		m.dispatch(l)
	}
}

// recordEngineStatus takes in what an engine says of itself with an answer.
func (m *Model) recordEngineStatus(u *pool.Upstream, load int, leaving bool) {
	m.pool.RecordLoad(u, load)
	if leaving && !u.Leaving() {
		m.markLeaving(u.Name())
	}
}

// markLeaving gives an upstream no more new work, here and, by way of the
// heartbeats, at every other node. What it has in progress runs to its end.
func (m *Model) markLeaving(name string) {
	u := m.pool.Get(name)
	if u == nil || !m.pool.MarkLeaving(name, "") {
		return
	}
	m.members.AddMark(m.now, &wire.LeavingMark{Upstream: name, Incarnation: u.Listing().Incarnation})
}

// applyMarks takes in leaving marks from a peer, and passes new ones on.
func (m *Model) applyMarks(marks []*wire.LeavingMark) {
	for _, mark := range marks {
		m.pool.MarkLeaving(mark.GetUpstream(), mark.GetIncarnation())
		m.members.AddMark(m.now, mark)
	}
}

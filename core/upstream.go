package core

import (
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// listReceived applies the platform's list of VMs, and dispatches waiting requests to the upstreams
// that are now available.
func (m *Model) listReceived(msg ListMsg) {
	m.pool.Update(m.now, msg.Upstreams)
	for _, l := range m.lanes {
		m.dispatch(l)
	}
}

// recordEngineStatus records the load and the leaving flag that an engine reports with an answer.
func (m *Model) recordEngineStatus(u *pool.Upstream, load int, leaving bool) {
	m.pool.RecordLoad(u, load)
	if leaving && !u.Leaving() {
		m.markLeaving(u.Name())
	}
}

// markLeaving stops new work for an upstream at this node and, through the heartbeats, at all
// others. Work in progress continues.
func (m *Model) markLeaving(name string) {
	u := m.pool.Get(name)
	if u == nil || !m.pool.MarkLeaving(name, "") {
		return
	}
	m.members.AddMark(m.now, &wire.LeavingMark{Upstream: name, Incarnation: u.Listing().Incarnation})
}

// applyMarks applies leaving marks from a peer. The following heartbeats forward new marks.
func (m *Model) applyMarks(marks []*wire.LeavingMark) {
	for _, mark := range marks {
		m.pool.MarkLeaving(mark.GetUpstream(), mark.GetIncarnation())
		m.members.AddMark(m.now, mark)
	}
}

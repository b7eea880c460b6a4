package core

import (
	"github.com/hoistjunction/hoistjunction/burn"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Stats returns the counters. They are the model's own: copy them to keep.
func (m *Model) Stats() *Stats { return &m.stats }

// Config returns the configuration in force. It must not be changed.
func (m *Model) Config() *wire.Config { return m.tracker.Current() }

// History returns the newest change records, newest first.
func (m *Model) History(limit int) []*wire.ChangeRecord { return m.tracker.History(limit) }

// ChangesAfter returns what a peer at a version is missing.
func (m *Model) ChangesAfter(after uint64) *wire.ChangesReply {
	records, ok := m.tracker.RecordsAfter(after)
	if !ok {
		return &wire.ChangesReply{Snapshot: m.tracker.Current()}
	}
	return &wire.ChangesReply{Records: records}
}

// Status tells operators of all nodes and upstreams, as this node sees them.
func (m *Model) Status() *wire.StatusReply {
	reply := &wire.StatusReply{Nodes: []*wire.NodeStatus{m.selfStatus()}}
	for _, p := range m.members.Peers() {
		r := p.Record()
		reply.Nodes = append(reply.Nodes, &wire.NodeStatus{
			Name: r.GetName(), Incarnation: r.GetIncarnation(), DataCentre: r.GetDataCentre(),
			Version: r.GetVersion(), Draining: r.GetDraining(), HeardMs: int64(m.now.Sub(p.LastSeen())),
		})
	}
	for _, u := range m.pool.All() {
		l := u.Listing()
		reply.Upstreams = append(reply.Upstreams, &wire.UpstreamStatus{
			Name: u.Name(), Pool: l.Group, DataCentre: l.DataCentre, Kind: l.Kind, State: u.State(),
			InFlight: uint32(u.InFlight()), Limit: uint32(u.Limit()), StepMs: u.StepMillis(),
		})
	}
	return reply
}

func (m *Model) selfStatus() *wire.NodeStatus {
	queued := 0
	for _, l := range m.lanes {
		queued += l.queue.Len()
	}
	return &wire.NodeStatus{
		Name: m.node.GetName(), Incarnation: m.node.GetIncarnation(), DataCentre: m.node.GetDataCentre(),
		Version: m.node.GetVersion(), Draining: m.node.GetDraining(),
		InProgress: uint32(len(m.requests)), Queued: uint32(queued),
	}
}

// Burn returns what hoistburn reads: the counts of every route and client
// account that has had requests.
func (m *Model) Burn() []burn.Line {
	var lines []burn.Line
	for _, c := range m.tracker.Current().GetAccounts() {
		a := m.accountsByName[c.GetName()]
		for _, rc := range m.tracker.Current().GetRoutes() {
			meter := a.meters[rc.GetName()]
			if meter == nil {
				continue
			}
			short, long := meter.Counts(m.now)
			if long.Total > 0 {
				lines = append(lines, burn.Line{Route: rc.GetName(), Account: c.GetName(), Short: short, Long: long})
			}
		}
	}
	return lines
}

// EachRoute calls f with every route's name and histograms, in the order of
// their names.
func (m *Model) EachRoute(f func(name string, t *Latencies)) {
	for _, rc := range m.tracker.Current().GetRoutes() {
		f(rc.GetName(), &m.routes[rc.GetName()].latencies)
	}
}

// ConfigAt returns the configuration of a version: the one in force for zero,
// or nil for one that is not held here.
func (m *Model) ConfigAt(version uint64) *wire.Config {
	if version == 0 || version == m.tracker.Version() {
		return m.tracker.Current()
	}
	return m.tracker.ConfigAt(version)
}

// HasUpstream reports whether there is an upstream of a name.
func (m *Model) HasUpstream(upstream string) bool { return m.pool.Get(upstream) != nil }

package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// shareInterval is the pause between two usage reports of a node. A stream lasts one to three
	// seconds.
	shareInterval clock.Millis = 300
	// usageWindow is how long a usage report counts, since some datagrams are lost.
	usageWindow clock.Millis = 1500
	// minSharedUse is the share of an engine's memory or slots in use from which its usage is
	// reported to other data centres. Below it the engine is far from full.
	minSharedUse = 0.25
	// minAggregatedUse is the share of an engine's memory or slots in use from which its usage is
	// reported to nodes that receive aggregated usage. maxAggregated is the largest number of
	// engines reported to them; one takes some 25 bytes. Lower usage does not affect the cost of
	// an engine.
	minAggregatedUse = 0.03
	maxAggregated    = 300
)

// nodeUsage is the last usage report of another node.
type nodeUsage struct {
	receivedAt clock.Millis
	used       map[fleet.Incarnation]fleet.EngineUsage
	// wholeDataCentre reports whether it is the sum over the data centre named dataCentre, and
	// allNodes whether it is the sum over all nodes.
	wholeDataCentre bool
	dataCentre      string
	// accounts is the use by client account of the services under contention.
	accounts []fairshare.AccountUse
	allNodes bool
}

// shareUsage sends this node's usage to other nodes once per shareInterval.
func (m *Model) shareUsage() []Cmd {
	if m.usagePeers == 0 && m.nodeCount.total < 2 || m.now < m.sharedAt.Add(shareInterval) {
		return nil
	}
	m.nodeCount.recount(m.now)
	m.sharedAt = m.now
	used := make(map[fleet.Incarnation]fleet.EngineUsage)
	for id, u := range m.upstreams {
		if use := m.withMeasuredSlowdown(u, u.ownUse()); u.reserved > 0 || use.Slowdown > 0 {
			used[id] = use
		}
	}
	m.sharedUsage = used
	cmd := ShareUsageCmd{Used: used, Limits: m.limits.Snapshot(m.now)}
	m.shareAccountUse(&cmd)
	if !m.usageAggregated {
		cmd.WholeDataCentre, cmd.AllNodes, cmd.IncludedDataCentres = m.dataCentreUsage(used), m.allNodesUsage(), m.includedDataCentres()
		cmd.Nodes = m.nodeCount.total
	}
	m.shareRetries(&cmd)
	return []Cmd{cmd}
}

// allNodesUsage returns the known usage of all nodes at the most used engines.
func (m *Model) allNodesUsage() map[fleet.Incarnation]fleet.EngineUsage {
	type used struct {
		id    fleet.Incarnation
		use   fleet.EngineUsage
		share float64
	}
	var list []used
	for id, u := range m.upstreams {
		use := m.withSlowdown(u, u.peerUse.Plus(u.ownUse()))
		share := max(use.Memory/max(u.memory, 1), float64(use.Streams)/float64(max(u.entry.Slots, 1)))
		if u.pipeline != nil && (share >= minAggregatedUse || use.Slowdown > 0) {
			list = append(list, used{id: id, use: use, share: share})
		}
	}
	slices.SortFunc(list, func(a, b used) int { return cmp.Or(cmp.Compare(b.share, a.share), a.id.Compare(b.id)) })
	sum := make(map[fleet.Incarnation]fleet.EngineUsage)
	for _, u := range list[:min(len(list), maxAggregated)] {
		sum[u.id] = u.use
	}
	return sum
}

// includedDataCentres returns the other data centres whose usage is known.
func (m *Model) includedDataCentres() []string {
	var centres []string
	for _, peer := range m.peerUsage {
		if peer.wholeDataCentre {
			centres = append(centres, peer.dataCentre)
		}
	}
	slices.Sort(centres)
	return centres
}

// dataCentreUsage returns the sum of this node's usage and that of the nodes which report to it
// one by one.
func (m *Model) dataCentreUsage(own map[fleet.Incarnation]fleet.EngineUsage) map[fleet.Incarnation]fleet.EngineUsage {
	total := maps.Clone(own)
	for _, peer := range m.peerReports() {
		if peer.wholeDataCentre {
			continue
		}
		for id, use := range peer.used {
			total[id] = total[id].Plus(use)
		}
	}
	maps.DeleteFunc(total, func(id fleet.Incarnation, use fleet.EngineUsage) bool {
		u := m.upstreams[id]
		return u == nil || use.Memory < minSharedUse*u.memory && float64(use.Streams) < minSharedUse*float64(u.entry.Slots)
	})
	return total
}

// peerReports returns the usage reports of other nodes in the order of their names. Sums of their
// numbers depend on the order, and a replay must lead to the same.
func (m *Model) peerReports() []nodeUsage {
	list := make([]nodeUsage, 0, len(m.peerUsage))
	for _, node := range slices.Sorted(maps.Keys(m.peerUsage)) {
		list = append(list, m.peerUsage[node])
	}
	return list
}

// recordPeerUsage replaces the usage of another node with its new report. It maintains the sum
// for each engine, since every request reads it.
func (m *Model) recordPeerUsage(msg UsageMsg) []Cmd {
	m.recordAlive(msg)
	m.recordPeerRetries(msg)
	m.nodeCount.peerReported(m.now, msg.DataCentre, msg.AllNodes, msg.Nodes)
	node, usage := msg.Node, plausibleUsage(msg.Used)
	switch {
	case m.usageAggregated != msg.AllNodes:
		// A node that receives aggregated usage ignores single reports, which are part of the
		// sum. A hub computes the sum itself and ignores that of others.
		return m.mergePeerLimits(msg)
	case msg.AllNodes:
		node, usage = allNodesKey, m.withoutOwn(usage)
	}
	m.subtractUsage(m.peerUsage[node].used)
	if len(m.peerUsage) == 0 {
		m.oldestPeerUsageAt = m.now
	}
	m.peerUsage[node] = nodeUsage{receivedAt: m.now, used: usage, accounts: m.peerAccounts(msg), wholeDataCentre: msg.WholeDataCentre, dataCentre: msg.DataCentre, allNodes: msg.AllNodes}
	for id, use := range usage {
		if u := m.upstreams[id]; u != nil {
			u.peerUse = u.peerUse.Plus(use)
			m.recordPeerSlowdown(u, use.Slowdown)
		}
	}
	return m.mergePeerLimits(msg)
}

// maxReportedAmount bounds what a report may contain for one engine: the memory in use, in tokens
// times layers, and the prompt tokens that wait there. No accelerator has that much. In the sums for
// each engine, much larger values would round away the usage of the other nodes.
const maxReportedAmount = 1e12

// plausibleUsage returns a usage report without the entries that cannot be true. NaN or an infinite
// value would remain in the sum for an engine after the report was replaced. An entry of which only
// the prompt tokens cannot be true is kept without them, since rounding may leave a sum of prompt
// tokens just below zero.
func plausibleUsage(used map[fleet.Incarnation]fleet.EngineUsage) map[fleet.Incarnation]fleet.EngineUsage {
	plausible := func(use fleet.EngineUsage) bool {
		return use.Memory >= 0 && use.Memory <= maxReportedAmount && use.Streams >= 0
	}
	plausiblePrompts := func(use fleet.EngineUsage) bool {
		return use.PromptTokens >= 0 && use.PromptTokens <= maxReportedAmount
	}
	valid, cloned := used, false
	for id, use := range used {
		if plausible(use) && plausiblePrompts(use) {
			continue
		}
		if !cloned {
			valid, cloned = maps.Clone(used), true
		}
		if use.PromptTokens = 0; plausible(use) {
			valid[id] = use
		} else {
			delete(valid, id)
		}
	}
	return valid
}

// allNodesKey stands for the node name in aggregated reports, which hubs send in turn.
const allNodesKey = "all"

// recordAlive records the nodes and data centres that a usage report shows to be alive.
func (m *Model) recordAlive(msg UsageMsg) {
	if msg.WholeDataCentre || msg.AllNodes {
		m.limits.RecordDataCentreSeen(m.now, msg.DataCentre)
	}
	for _, centre := range msg.IncludedDataCentres {
		m.limits.RecordDataCentreSeen(m.now, centre)
	}
	if !msg.WholeDataCentre {
		m.nodes.RecordHeard(m.now, msg.Node)
		m.limits.RecordSeen(m.now, msg.Node)
	}
}

// withoutOwn subtracts the usage that this node shared last from the usage of all nodes.
func (m *Model) withoutOwn(sum map[fleet.Incarnation]fleet.EngineUsage) map[fleet.Incarnation]fleet.EngineUsage {
	others := make(map[fleet.Incarnation]fleet.EngineUsage, len(sum))
	for id, use := range sum {
		remainder := use.Minus(m.sharedUsage[id])
		others[id] = fleet.EngineUsage{Memory: max(remainder.Memory, 0), Streams: max(remainder.Streams, 0), PromptTokens: max(remainder.PromptTokens, 0), Slowdown: use.Slowdown}
	}
	return others
}

// dropPeerUsage drops all usage reports of other nodes.
func (m *Model) dropPeerUsage() {
	m.dropReports(slices.Sorted(maps.Keys(m.peerUsage)))
}

// dropReports drops the usage reports of the named nodes.
func (m *Model) dropReports(nodes []string) {
	for _, node := range nodes {
		m.subtractUsage(m.peerUsage[node].used)
		delete(m.peerUsage, node)
	}
}

// subtractUsage removes a node's usage from the sums of the engines.
func (m *Model) subtractUsage(usage map[fleet.Incarnation]fleet.EngineUsage) {
	for id, use := range usage {
		if u := m.upstreams[id]; u != nil {
			u.peerUse = u.peerUse.Minus(use)
		}
	}
}

// peerUseOf returns the sum of the reported usage of an engine that is new in the list.
func (m *Model) peerUseOf(id fleet.Incarnation) fleet.EngineUsage {
	var nodes []string
	for node, peer := range m.peerUsage {
		if _, used := peer.used[id]; used {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	var sum fleet.EngineUsage
	for _, node := range nodes {
		sum = sum.Plus(m.peerUsage[node].used[id])
	}
	return sum
}

// expirePeerUsage drops usage reports that are older than usageWindow, and updates
// oldestPeerUsageAt.
func (m *Model) expirePeerUsage() {
	m.oldestPeerUsageAt = m.now
	var expired []string
	for node, peer := range m.peerUsage {
		if m.now > peer.receivedAt.Add(usageWindow) {
			expired = append(expired, node)
			continue
		}
		m.oldestPeerUsageAt = min(m.oldestPeerUsageAt, peer.receivedAt)
	}
	slices.Sort(expired)
	m.dropReports(expired)
}

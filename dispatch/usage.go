package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// shareInterval is how often a node tells others what it has in use. A stream
	// lasts one to three seconds.
	shareInterval clock.Millis = 300
	// usageWindow is for how long that counts: some datagrams are lost.
	usageWindow clock.Millis = 1500
	// minSharedUse is the part of an engine's memory, or slots, from which other data
	// centres are told of its use: below it nobody runs out of it.
	minSharedUse = 0.25
	// minAggregatedUse is the same for the nodes of a data centre that are told sums, and
	// maxAggregated how many engines they are told of at the most: one takes some 25 bytes. What
	// is used less makes no engine dearer than another.
	minAggregatedUse = 0.03
	maxAggregated    = 300
)

// nodeUsage is what another node has in use.
type nodeUsage struct {
	receivedAt clock.Millis
	used       map[fleet.Incarnation]fleet.EngineUsage
	// wholeDataCentre tells that it is another data centre's, whose name is centre, and whole that it
	// is that of all nodes.
	wholeDataCentre bool
	dataCentre      string
	allNodes        bool
}

// shareUsage tells the others what this node has in use, when it is time for that.
func (m *Model) shareUsage() []Cmd {
	if m.usagePeers == 0 && m.nodeCount.total < 2 || m.now < m.sharedAt.Add(shareInterval) {
		return nil
	}
	m.nodeCount.recount(m.now)
	m.sharedAt = m.now
	used := make(map[fleet.Incarnation]fleet.EngineUsage)
	for id, u := range m.upstreams {
		if u.reserved > 0 {
			used[id] = fleet.EngineUsage{Memory: u.reserved, Streams: u.inFlight}
		}
	}
	m.sharedUsage = used
	cmd := ShareUsageCmd{Used: used, Limits: m.limits.Snapshot(m.now)}
	if !m.usageAggregated {
		cmd.WholeDataCentre, cmd.AllNodes, cmd.IncludedDataCentres = m.dataCentreUsage(used), m.allNodesUsage(), m.includedDataCentres()
		cmd.Nodes = m.nodeCount.total
	}
	return []Cmd{cmd}
}

// allNodesUsage is what the requests of all nodes take at the engines that are used most, as far as
// this node knows.
func (m *Model) allNodesUsage() map[fleet.Incarnation]fleet.EngineUsage {
	type used struct {
		id   fleet.Incarnation
		use  fleet.EngineUsage
		part float64
	}
	var list []used
	for id, u := range m.upstreams {
		use := u.peerUse.Plus(fleet.EngineUsage{Memory: u.reserved, Streams: u.inFlight})
		part := max(use.Memory/max(u.memory, 1), float64(use.Streams)/float64(max(u.entry.Slots, 1)))
		if u.pipeline != nil && part >= minAggregatedUse {
			list = append(list, used{id: id, use: use, part: part})
		}
	}
	slices.SortFunc(list, func(a, b used) int { return cmp.Or(cmp.Compare(b.part, a.part), a.id.Compare(b.id)) })
	whole := make(map[fleet.Incarnation]fleet.EngineUsage)
	for _, u := range list[:min(len(list), maxAggregated)] {
		whole[u.id] = u.use
	}
	return whole
}

// includedDataCentres are the other data centres of whose use this node has heard.
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

// dataCentreUsage adds up what this node and those that tell it alone have in use.
func (m *Model) dataCentreUsage(own map[fleet.Incarnation]fleet.EngineUsage) map[fleet.Incarnation]fleet.EngineUsage {
	total := maps.Clone(own)
	for _, peer := range m.peerUsage {
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

// recordPeerUsage takes what another node has in use, in place of what it has told before.
// The sum for each engine is kept, since every request asks for it.
func (m *Model) recordPeerUsage(msg UsageMsg) []Cmd {
	m.recordAlive(msg)
	m.nodeCount.peerReported(m.now, msg.DataCentre, msg.AllNodes, msg.Nodes)
	node, used := msg.Node, msg.Used
	switch {
	case m.usageAggregated != msg.AllNodes:
		// What a node has that is told sums is part of them, and a hub makes its own.
		return m.mergePeerLimits(msg)
	case msg.AllNodes:
		node, used = allNodesKey, m.withoutOwn(used)
	}
	m.subtractUsage(m.peerUsage[node].used)
	m.peerUsage[node] = nodeUsage{receivedAt: m.now, used: used, wholeDataCentre: msg.WholeDataCentre, dataCentre: msg.DataCentre, allNodes: msg.AllNodes}
	for id, use := range used {
		if u := m.upstreams[id]; u != nil {
			u.peerUse = u.peerUse.Plus(use)
		}
	}
	return m.mergePeerLimits(msg)
}

// allNodesKey stands in for the name of a node in what all have in use: hubs take turns.
const allNodesKey = "all"

// recordAlive notes signs of life in what another node tells.
func (m *Model) recordAlive(msg UsageMsg) {
	if msg.WholeDataCentre || msg.AllNodes {
		m.limits.RecordDataCentreSeen(m.now, msg.DataCentre)
	}
	for _, centre := range msg.IncludedDataCentres {
		m.limits.RecordDataCentreSeen(m.now, centre)
	}
	if !msg.WholeDataCentre {
		m.limits.RecordSeen(m.now, msg.Node)
	}
}

// withoutOwn takes what this node has told last off what all nodes have in use.
func (m *Model) withoutOwn(whole map[fleet.Incarnation]fleet.EngineUsage) map[fleet.Incarnation]fleet.EngineUsage {
	others := make(map[fleet.Incarnation]fleet.EngineUsage, len(whole))
	for id, use := range whole {
		rest := use.Minus(m.sharedUsage[id])
		others[id] = fleet.EngineUsage{Memory: max(rest.Memory, 0), Streams: max(rest.Streams, 0)}
	}
	return others
}

// dropPeerUsage drops all that was told.
func (m *Model) dropPeerUsage() {
	for node, peer := range m.peerUsage {
		m.subtractUsage(peer.used)
		delete(m.peerUsage, node)
	}
}

// subtractUsage takes what a node has told off the sums.
func (m *Model) subtractUsage(used map[fleet.Incarnation]fleet.EngineUsage) {
	for id, use := range used {
		if u := m.upstreams[id]; u != nil {
			u.peerUse = u.peerUse.Minus(use)
		}
	}
}

// peerUseOf adds up what other nodes have told of an engine that is new here.
func (m *Model) peerUseOf(id fleet.Incarnation) fleet.EngineUsage {
	var sum fleet.EngineUsage
	for _, peer := range m.peerUsage {
		sum = sum.Plus(peer.used[id])
	}
	return sum
}

// expirePeerUsage drops what was told too long ago.
func (m *Model) expirePeerUsage() {
	for node, peer := range m.peerUsage {
		if m.now > peer.receivedAt.Add(usageWindow) {
			m.subtractUsage(peer.used)
			delete(m.peerUsage, node)
		}
	}
}

// freeMemory returns the memory that is left at an engine, as far as is known. A node
// that has not been heard of lately is taken to use nothing: it is dead or cut
// off far more often than its datagrams are all lost. Where that is wrong the
// engine refuses, and is taken as full for a moment.
func (m *Model) freeMemory(u *upstream) float64 {
	free := u.memory - u.reserved - m.estimatedPeerUse(u).Memory
	if reported, ok := m.reportedFreeMemory(u); ok {
		free = min(free, reported)
	}
	return free
}

// startAssumption is for how long after its start a node takes others that it has not heard of
// to use as much as itself: each tells every 0.3 s.
const startAssumption clock.Millis = 1000

// estimatedPeerUse is what other nodes' requests take at an engine. A node that has just started
// has heard of none, and so have the others if all have started together: each takes the
// others to choose as it does. Without that all begin at the same engines until they have
// heard of each other.
func (m *Model) estimatedPeerUse(u *upstream) fleet.EngineUsage {
	use := u.peerUse
	if m.now >= startAssumption {
		return use
	}
	if unheard := m.usagePeers - m.reportingPeers(); unheard > 0 {
		use.Memory += u.reserved * float64(unheard)
		use.Streams += u.inFlight * unheard
	}
	return use
}

// reportingPeers is of how many other nodes it is known what they have in use.
func (m *Model) reportingPeers() int {
	n := 0
	for _, peer := range m.peerUsage {
		switch {
		case peer.allNodes:
			return m.usagePeers
		case !peer.wholeDataCentre:
			n++
		}
	}
	return n
}

// reportedFreeMemory returns the memory that is left at an engine by its own word, if that
// is recent.
func (m *Model) reportedFreeMemory(u *upstream) (free float64, ok bool) {
	if m.now > u.reportedAt.Add(reportWindow) {
		return 0, false
	}
	return u.reportedFree - max(0, u.reserved-u.reservedAtReport), true
}

// memorySource tells whose word on an engine's memory counts now, and how old it is.
func (m *Model) memorySource(u *upstream) (MemorySource, clock.Millis) {
	if u.full(m.now) {
		return SourceRefusal, m.now.Sub(u.refusedAt)
	}
	free := m.freeMemory(u)
	if reported, ok := m.reportedFreeMemory(u); ok && reported <= free {
		return SourceEngineReport, m.now.Sub(u.reportedAt)
	}
	oldest := clock.Millis(-1)
	for _, peer := range m.peerUsage {
		if m.now <= peer.receivedAt.Add(usageWindow) && peer.used[u.entry.ID].Memory > 0 {
			oldest = max(oldest, m.now.Sub(peer.receivedAt))
		}
	}
	if oldest < 0 {
		return SourceOwnRequests, 0
	}
	return SourcePeerReports, oldest
}

// missingResource says why no chain could be built for a request.
func (m *Model) missingResource(r *request) *MissingResource {
	lack := &MissingResource{MissingResource: chain.FindMissingResource(0, r.service.Pipeline.Layers, r.memoryTokens, m.holders(r, m.byService[r.service.Name], m.answersProbes)), Source: SourceOwnRequests}
	if u := m.upstreams[lack.ID]; u != nil {
		lack.Source, lack.SourceAge = m.memorySource(u)
	}
	return lack
}

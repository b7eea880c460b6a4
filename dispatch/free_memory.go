package dispatch

import (
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// freeMemory estimates the free memory of an engine. A node without a recent report counts as
// using nothing: it has far more often crashed or been partitioned than lost all of its
// datagrams. If that is wrong, the engine refuses requests and counts as full for a moment.
func (m *Model) freeMemory(u *upstream) float64 {
	free := u.memory - u.reserved - m.estimatedPeerUse(u).Memory
	if reported, ok := m.reportedFreeMemory(u); ok {
		free = min(free, reported)
	}
	return free
}

// startAssumption is how long after its start a node assumes that each node without a usage
// report uses as much as itself. Each node sends a report every 0.3 s.
const startAssumption clock.Millis = 1000

// estimatedPeerUse returns the usage of an engine by other nodes. A node that has just started
// has no reports, and neither have the others if all started together, so it assumes that they
// choose as it does. Otherwise all of them would begin their streams on the same engines until
// the first reports arrive.
func (m *Model) estimatedPeerUse(u *upstream) fleet.EngineUsage {
	use := u.peerUse
	if m.now >= startAssumption {
		return use
	}
	if unreported := m.usagePeers - m.reportingPeers(); unreported > 0 {
		use.Memory += u.reserved * float64(unreported)
		use.Streams += u.inFlight * unreported
		use.PromptTokens += u.promptTokens * float64(unreported)
	}
	return use
}

// reportingPeers returns the number of other nodes whose usage is known.
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

// reportedFreeMemory returns the free memory of an engine according to its own report, if that is
// recent.
func (m *Model) reportedFreeMemory(u *upstream) (free float64, ok bool) {
	if !u.hasRecentReport(m.now) {
		return 0, false
	}
	return u.reportedFree - max(0, u.reserved-u.reservedAtReport), true
}

// memorySource returns the origin and age of the current value of an engine's free memory.
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

// missingResource returns why no chain could be built for a request.
func (m *Model) missingResource(r *request) *MissingResource {
	missing := &MissingResource{MissingResource: chain.FindMissingResource(0, r.service.Pipeline.Layers, r.memoryTokens, m.holders(r, m.byService[r.service.Name], m.answersProbes)), Source: SourceOwnRequests}
	if u := m.upstreams[missing.ID]; u != nil {
		missing.Source, missing.SourceAge = m.memorySource(u)
	}
	return missing
}

package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// sendProbes asks the upstreams that it is time to ask.
func (m *Model) sendProbes() []Cmd {
	var cmds []Cmd
	for id, u := range m.probeCandidates {
		if m.upstreams[id] != u || !u.mayNeedProbe() {
			delete(m.probeCandidates, id)
			continue
		}
		if u.probeDue(m.now) {
			u.crashCheckOnly = u.crashCheckWanted && !u.earlyProbeWanted && m.now < u.avoidUntil
			u.probeInFlight, u.reportWanted, u.earlyProbeWanted, u.crashCheckWanted = true, false, false, false
			cmds = append(cmds, ProbeCmd{Upstream: u.entry.ID, Address: u.entry.Address, Engine: u.pipeline != nil})
		}
	}
	slices.SortFunc(cmds, func(a, b Cmd) int {
		return a.(ProbeCmd).Upstream.Compare(b.(ProbeCmd).Upstream)
	})
	return cmds
}

// recordReport notes how slow an engine is, and how much memory it has left.
func (m *Model) recordReport(id fleet.Incarnation, report Report) {
	u := m.upstreams[id]
	if u == nil {
		return
	}
	if report.Slowdown > 0 {
		u.slowdown, u.slowdownAt = report.Slowdown, m.now
		u.addProbeCandidate()
	}
	if report.TotalMemory > 0 {
		u.reportedFree, u.reportedAt, u.reservedAtReport = report.FreeMemory, m.now, u.reserved
		u.explainRefusal(m.now, report)
	}
}

// probeDone ends a suspicion, or goes on with it. An engine that was suspected and
// does not answer a probe either is taken as lost.
func (m *Model) probeDone(msg ProbedMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return nil
	}
	u.probeInFlight = false
	m.recordReport(msg.Upstream, msg.Report)
	if msg.Answered && msg.Report.Empty {
		// It has started again, and the list shows for some seconds what it held before. Each
		// node that believed that would have a request turned away.
		u.entry.Held = fleet.LayerRange{}
	}
	cmds := m.recordProbeFate(u, msg)
	if u.crashCheckOnly {
		// Its suspicion has a time of its own: one that breaks requests off may answer this,
		// and one that is held up for a moment is not lost for that.
		return cmds
	}
	u.suspected = !msg.Answered
	if msg.Answered {
		u.probeAnsweredAt, u.unansweredProbes = m.now, 0
	} else {
		u.avoidUntil = m.now.Add(min(minSuspicion<<min(u.unansweredProbes, 8), maxProbePause))
		u.unansweredProbes++
	}
	if u.pipeline == nil || u.unresponsive == !msg.Answered {
		return cmds
	}
	u.unresponsive = !msg.Answered
	agreed := u.unresponsive && m.now <= u.peerReportedAt.Add(m.peerReportWindow())
	return append(cmds, ResponsivenessCmd{Upstream: msg.Upstream, Unresponsive: u.unresponsive, Confirmed: agreed})
}

const (
	// peerReportWindow is for how long another node's word on an engine's silence agrees with this
	// node's own finding: a probe follows within 0.1 s, and takes 0.16 s at the most.
	peerReportWindow clock.Millis = 1000
	// probeSpread is within what time a node that is told sums probes an engine that others
	// have found silent. The hubs do so at once; two hundred nodes that did so too would
	// ask each of a hundred lost engines at the same moment.
	probeSpread clock.Millis = 2000
)

// peerReportWindow is for how long another node's word on an engine's silence agrees with this
// node's own finding.
func (m *Model) peerReportWindow() clock.Millis {
	if m.usageAggregated {
		return peerReportWindow + probeSpread
	}
	return peerReportWindow
}

// peerFoundUnresponsive suspects an engine that another node has found silent. Without that each
// of sixty nodes sent requests over each of nine lost engines until it had found out by
// itself, and spent its budget of repeats on them. A probe ends the suspicion where the word
// was wrong: at the next tick, or later where many nodes are told.
func (m *Model) peerFoundUnresponsive(msg PeerUnresponsiveMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil || u.pipeline == nil {
		return nil
	}
	u.peerReportedAt = m.now
	if u.suspected {
		return nil
	}
	u.suspected, u.suspicionCause = true, CauseNoProgress
	u.addProbeCandidate()
	u.avoidUntil = m.now
	if m.usageAggregated {
		u.avoidUntil = m.now.Add(clock.Millis(m.random.Int64N(int64(probeSpread))))
	}
	return m.recheckAttempts(u, nil)
}

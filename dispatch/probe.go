package dispatch

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// sendProbes probes the upstreams whose probe is due, as far as the budget allows.
func (m *Model) sendProbes() []Cmd {
	due := m.dueProbes()
	if len(due) == 0 {
		return nil
	}
	m.probeBudget.setShare(m.now, len(m.upstreams), m.assumedNodes(), m.overloaded)
	var cmds []Cmd
	for _, u := range due[:m.probeBudget.take(m.now, len(due))] {
		cmds = append(cmds, u.beginProbe(m.now))
	}
	slices.SortFunc(cmds, func(a, b Cmd) int {
		return a.(ProbeCmd).Upstream.Compare(b.(ProbeCmd).Upstream)
	})
	return cmds
}

// dueProbes returns the upstreams whose probe is due, the most important first, and among equal ones the
// longest due.
func (m *Model) dueProbes() []*upstream {
	var due []*upstream
	for id, u := range m.probeCandidates {
		u.expireSlowdown(m.now)
		if m.upstreams[id] != u || !u.mayNeedProbe() {
			delete(m.probeCandidates, id)
			continue
		}
		if m.cutFrom(u) && !u.reachProbeWanted {
			// Nothing can be found out about a single upstream there.
			continue
		}
		if u.probeDue(m.now) {
			due = append(due, u)
		}
	}
	slices.SortFunc(due, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.probeReason(m.now), b.probeReason(m.now)), cmp.Compare(a.avoidUntil, b.avoidUntil), compareByID(a, b))
	})
	return due
}

// beginProbe records that a probe of the upstream is sent.
func (u *upstream) beginProbe(now clock.Millis) ProbeCmd {
	cmd := ProbeCmd{Upstream: u.entry.ID, Address: u.entry.Address, Engine: u.pipeline != nil, Reason: u.probeReason(now)}
	u.reachProbeOnly = u.reachProbeWanted && !u.suspected
	u.reachProbeWanted = false
	u.crashCheckOnly = u.crashCheckWanted && !u.earlyProbeWanted && now < u.avoidUntil
	u.probeInFlight, u.reportWanted, u.earlyProbeWanted, u.crashCheckWanted = true, false, false, false
	return cmd
}

// reported handles an engine's report of its state.
func (m *Model) reported(msg ReportMsg) []Cmd {
	m.recordReport(msg.Upstream, msg.Report)
	return m.recordAnswered(m.upstreams[msg.Upstream])
}

// recordReport records an engine's slowdown and free memory from its report.
func (m *Model) recordReport(id fleet.Incarnation, report Report) {
	u := m.upstreams[id]
	if u == nil {
		return
	}
	if report.Slowdown > 0 {
		u.slowdown, u.slowdownAt, u.slowdownMeasured = report.Slowdown, m.now, true
		u.addProbeCandidate()
	}
	if report.TotalMemory > 0 {
		u.reportedFree, u.reportedQueued, u.reportedAt, u.reservedAtReport = report.FreeMemory, report.Queued, m.now, u.reserved
		u.explainRefusal(m.now, report)
	}
}

// probeDone handles the result of a probe: an answer ends the suspicion, otherwise it continues.
// A suspected engine that does not answer becomes unresponsive.
func (m *Model) probeDone(msg ProbedMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return nil
	}
	u.probeInFlight = false
	if !msg.Answered && m.overloaded {
		m.probeInconclusive(u)
		return nil
	}
	m.recordReport(msg.Upstream, msg.Report)
	if msg.Answered && msg.Report.Empty {
		// The engine has restarted, and the list shows its former layers for some seconds. Each
		// node that relied on the list would have a request refused.
		u.setHeld(fleet.LayerRange{})
	}
	cmds := m.recordProbeReach(u, msg.Answered)
	if !msg.Answered && m.cutFrom(u) {
		// The answer may have been lost on this node's own links.
		return cmds
	}
	cmds = append(cmds, m.recordProbeFate(u, msg)...)
	if u.crashCheckOnly {
		// This probe only checks for a crash. The suspicion keeps its own duration: an engine
		// that breaks requests off may still answer probes, and one that pauses for a moment is
		// not lost.
		return cmds
	}
	if !msg.Answered && u.reachProbeOnly {
		// Doubtful links are no reason to suspect an upstream that has done nothing else.
		return cmds
	}
	u.suspected, u.suspectedByPeer = !msg.Answered, false
	if msg.Answered {
		u.probeAnsweredAt, u.unansweredProbes = m.now, 0
	} else {
		u.avoidUntil = m.now.Add(min(minSuspicion<<min(u.unansweredProbes, 8), maxProbePause))
		u.unansweredProbes++
	}
	cmds = append(cmds, m.refutePeers(u, msg)...)
	if u.pipeline == nil || u.unresponsive == !msg.Answered || !msg.Answered && m.answersPeers(u) {
		return cmds
	}
	u.unresponsive = !msg.Answered
	if msg.bySameProcess() {
		m.countExecutions(u)
	}
	confirmed := u.unresponsive && m.now <= u.peerReportedAt.Add(m.peerReportWindow())
	return append(cmds, ResponsivenessCmd{Upstream: msg.Upstream, Unresponsive: u.unresponsive, Confirmed: confirmed, NeverAnswered: !m.hasAnswered(u)})
}

const (
	// peerReportWindow is how long another node's report of an unresponsive engine confirms this
	// node's own finding: a probe follows within 0.1 s and takes at most 0.16 s.
	peerReportWindow clock.Millis = 1000
	// probeSpread is the time over which nodes that receive aggregated usage spread their probes
	// of an engine that another node found unresponsive. Hubs probe at once. If two hundred nodes
	// did so, each of a hundred crashed engines would be probed by all of them at the same
	// moment.
	probeSpread clock.Millis = 2000
)

// peerReportWindow returns how long another node's report of an unresponsive engine confirms this
// node's own finding.
func (m *Model) peerReportWindow() clock.Millis {
	if m.usageAggregated {
		return peerReportWindow + probeSpread
	}
	return peerReportWindow
}

// peerFoundUnresponsive suspects an engine that another node found unresponsive. Without that
// report each of sixty nodes sent requests over each of nine crashed engines until it detected
// the crash itself, and used up its retry budget. A probe ends the suspicion if the report was
// wrong, at the next tick or, with aggregated usage, within probeSpread.
func (m *Model) peerFoundUnresponsive(msg PeerUnresponsiveMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil || u.pipeline == nil {
		return nil
	}
	u.peerReportedAt = m.now
	if u.suspected {
		return nil
	}
	u.suspected, u.suspectedByPeer, u.suspicionCause = true, true, CauseNoProgress
	u.addProbeCandidate()
	u.avoidUntil = m.now
	if m.usageAggregated {
		u.avoidUntil = m.now.Add(clock.Millis(m.random.Int64N(int64(probeSpread))))
	}
	return m.recheckAttempts(u, nil)
}

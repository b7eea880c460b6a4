package dispatch

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// answersPeersWindow is how long an engine that answers other nodes counts as alive although it does
// not answer this one. A node that is cut for longer reports the engine again and is answered again.
const answersPeersWindow clock.Millis = 5000

// AnswersHereCmd tells other nodes that an upstream answers this node which one of them has found
// unresponsive, or at which it has lost a request.
type AnswersHereCmd struct{ Upstream fleet.Incarnation }

func (AnswersHereCmd) dispatchCmd() {}

// refutePeers tells other nodes of an answer if one of them has just found the engine unresponsive.
// An answer that may come from the next process at the address refutes nothing. Where nodes receive
// aggregated usage, hubs do so for all.
func (m *Model) refutePeers(u *upstream, msg ProbedMsg) []Cmd {
	if !msg.bySameProcess() || m.usageAggregated || m.now > u.peerReportedAt.Add(peerReportWindow) {
		return nil
	}
	u.peerReportedAt = clock.Never
	return []Cmd{AnswersHereCmd{Upstream: u.entry.ID}}
}

// bySameProcess reports whether the probe was answered by the upstream itself, as far as the answer
// shows, and not by the next process at its address.
func (msg ProbedMsg) bySameProcess() bool {
	return msg.Answered && (msg.Identified || msg.Upstream.StartedAt() == 0 && !msg.Report.Empty)
}

// refuteLoss tells other nodes that an upstream has named itself if one of them has just reported a loss
// at it: nodes that are cut from several upstreams would take the request for one that crashes them. The
// name of an upstream that keeps it when it starts again proves nothing about the process before.
func (m *Model) refuteLoss(u *upstream) []Cmd {
	if u == nil || u.entry.ID.StartedAt() != 0 || m.usageAggregated || m.now > u.peerLostAt.Add(peerReportWindow) {
		return nil
	}
	u.peerLostAt = clock.Never
	return []Cmd{AnswersHereCmd{Upstream: u.entry.ID}}
}

// peerFoundResponsive withdraws this node's finding that an upstream is unresponsive: it is alive, and
// this node is cut from it. It gets no requests of this node, which still does not reach it.
func (m *Model) peerFoundResponsive(msg PeerResponsiveMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return nil
	}
	u.answersPeersAt = m.now
	cmds := m.quarantineCmds(m.quarantine.UpstreamAnswered(u.entry.ID))
	if !u.unresponsive {
		return cmds
	}
	return append(cmds, m.withdrawUnresponsive(u))
}

// answersPeers reports whether an engine has answered other nodes lately.
func (m *Model) answersPeers(u *upstream) bool {
	return m.now <= u.answersPeersAt.Add(answersPeersWindow)
}

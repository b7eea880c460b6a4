package dispatch

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/reachability"
)

// ReachCmd reports that this node's evidence about its links to a data centre has led to another
// state.
type ReachCmd struct{ reachability.Change }

func (ReachCmd) dispatchCmd() {}

// Reachability returns this node's evidence about its links to upstreams.
func (m *Model) Reachability(now clock.Millis) []reachability.Summary { return m.reach.Summaries(now) }

func (u *upstream) link() reachability.Link {
	return reachability.Link{Upstream: u.entry.ID, DataCentre: u.entry.DataCentre}
}

// hasAnswered reports whether an upstream has ever answered this node.
func (m *Model) hasAnswered(u *upstream) bool { return u != nil && m.reach.HasAnswered(u.link()) }

// recordAnswered records that an upstream answered this node in any way.
func (m *Model) recordAnswered(u *upstream) []Cmd {
	if u == nil {
		return nil
	}
	return m.reachChanged(m.reach.RecordAnswer(m.now, u.link(), m.listedIn[u.entry.DataCentre]))
}

// recordUnreached records that this node failed to reach an upstream.
func (m *Model) recordUnreached(u *upstream, kind reachability.Failure) []Cmd {
	if u == nil || m.overloaded && kind.IsSilence() {
		return nil
	}
	return m.reachChanged(m.reach.RecordFailure(m.now, u.link(), kind, m.listedIn[u.entry.DataCentre]))
}

// recordAttemptReach records what a failed attempt shows about the link to its upstream. An
// attempt that was canceled because of a later engine of its chain shows nothing.
func (m *Model) recordAttemptReach(r *request, msg AttemptFailedMsg) []Cmd {
	if r.progress != atUpstream {
		return nil
	}
	u := r.firstUpstream
	switch msg.Cause {
	case CauseFull, CauseMisdirected, CauseUpstreamFailed, CauseBrokenAnswer:
		return m.recordAnswered(u)
	case CauseNotSent:
		return m.recordUnreached(u, reachability.NotConnected)
	case CauseUnknown:
		return m.recordUnreached(u, reachability.BrokenOff)
	case CauseNoProgress:
		if msg.FaultyAddress == u.entry.Address {
			return m.recordUnreached(u, reachability.Silent)
		}
	case CauseStaleConfig, CauseNodeRefused:
		// Nothing was sent to the upstream.
	}
	return nil
}

// chainUnanswered records that no engine of a chain answered.
func (m *Model) chainUnanswered(msg ChainUnansweredMsg) []Cmd {
	var cmds []Cmd
	for _, id := range msg.Upstreams {
		cmds = append(cmds, m.recordUnreached(m.upstreams[id], reachability.Silent)...)
	}
	return cmds
}

// recordProbeReach records what the result of a probe shows about the link to its upstream.
func (m *Model) recordProbeReach(u *upstream, answered bool) []Cmd {
	if answered {
		return m.recordAnswered(u)
	}
	return m.recordUnreached(u, reachability.ProbeUnanswered)
}

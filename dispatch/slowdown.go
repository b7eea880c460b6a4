package dispatch

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// A node of a large data centre has few requests, and measures an engine's slowdown only when one of
// its own streams stalls there. Until each node had found a slow engine by itself, all of them kept
// sending to it. The nodes therefore report the slowdowns that they measured with their usage.
const (
	// maxReportedSlowdown bounds a reported slowdown. An engine that is slower than that stalls
	// every stream and is found unresponsive.
	maxReportedSlowdown = 1000
	// reportedSlowdownWindow is how long a node prefers its own measurement of a slowdown to a
	// report, and how long a hub passes a report on: the age of a report that a hub has passed on.
	reportedSlowdownWindow clock.Millis = 600
)

// withMeasuredSlowdown adds the slowdown that this node measured recently to its use of an engine.
func (m *Model) withMeasuredSlowdown(u *upstream, use fleet.EngineUsage) fleet.EngineUsage {
	if m.manyNodes && u.slowdownMeasured && u.slowdown > normalSlowdown && m.now <= u.slowdownAt.Add(slowdownRecheck) {
		use.Slowdown = u.slowdown
	}
	return use
}

// withSlowdown adds the slowdown that this node measured or that others reported recently to the use
// of an engine by all nodes.
func (m *Model) withSlowdown(u *upstream, use fleet.EngineUsage) fleet.EngineUsage {
	if !u.slowdownMeasured && u.slowdown > normalSlowdown && m.now <= u.slowdownAt.Add(reportedSlowdownWindow) {
		use.Slowdown = u.slowdown
		return use
	}
	return m.withMeasuredSlowdown(u, use)
}

// recordPeerSlowdown records the slowdown of an engine that another node reported.
func (m *Model) recordPeerSlowdown(u *upstream, slowdown float64) {
	if !m.manyNodes || u.pipeline == nil || !(slowdown > normalSlowdown && slowdown <= maxReportedSlowdown) {
		return
	}
	if u.slowdownMeasured && m.now < u.slowdownAt.Add(reportedSlowdownWindow) {
		return
	}
	u.slowdown, u.slowdownAt, u.slowdownMeasured = slowdown, m.now, false
	u.addProbeCandidate()
}

// expireSlowdown ends a slowdown that no node reports any more. The nodes that measured it probe the
// engine again, so this node need not.
func (u *upstream) expireSlowdown(now clock.Millis) {
	if u.slowdown > normalSlowdown && !u.slowdownMeasured && now > u.slowdownAt.Add(usageWindow) {
		u.slowdown = 1
	}
}

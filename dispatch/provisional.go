package dispatch

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// provisionalSuspicion is how long an engine is avoided that has not answered a stalled stream in
// time, if the result of that query never arrives. The query itself ends within 160 ms.
const provisionalSuspicion clock.Millis = 200

// LateReportMsg reports the result of a query that an engine had not answered when a stalled stream
// could wait no longer.
type LateReportMsg struct {
	Upstream fleet.Incarnation
	// Answered, Identified and Report are as in ProbedMsg.
	Answered   bool
	Identified bool
	Report     Report
}

func (LateReportMsg) dispatchMsg() {}

// suspectProvisionally suspects an engine that may only be late with its answer. Other streams
// through it check their progress as for any suspicion, but the finding counts as no failure, so
// that an engine which answers late is avoided no longer than its answer takes.
func (m *Model) suspectProvisionally(u *upstream, reporter *request) []Cmd {
	u.suspicionCause = CauseNoProgress
	if u.suspected {
		return nil
	}
	u.suspected, u.avoidUntil = true, m.now.Add(provisionalSuspicion)
	u.addProbeCandidate()
	cmds := []Cmd{SuspectCmd{Upstream: u.entry.ID, Until: u.avoidUntil, Failures: u.failures, Cause: CauseNoProgress}}
	return append(cmds, m.recheckAttempts(u, reporter)...)
}

// lateReport handles the result of an overdue query. An answer ends the suspicion, and the streams
// that still wait to leave the engine stay. Without an answer the engine is probed at the next tick:
// a node that was paused itself, or lost one packet, must not announce a working engine as
// unresponsive to all others.
func (m *Model) lateReport(msg LateReportMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	var cmds []Cmd
	if u != nil && msg.Answered {
		cmds = m.recordAnswered(u)
	}
	if u == nil || !u.suspected || u.probeInFlight {
		// A probe that is in flight decides.
		return cmds
	}
	if !msg.Answered {
		u.avoidUntil = min(u.avoidUntil, m.now)
		return cmds
	}
	m.recoveries.RemoveLeaving(msg.Upstream)
	u.crashCheckOnly = false
	return append(cmds, m.probeDone(ProbedMsg(msg))...)
}

package dispatch

import (
	"slices"
	"strings"
)

// probes asks the upstreams that it is time to ask.
func (m *Model) probes() []Cmd {
	var cmds []Cmd
	for _, u := range m.upstreams {
		if u.needsProbe(m.now) {
			u.probing, u.wantsReport, u.wantsProbe = true, false, false
			cmds = append(cmds, ProbeCmd{Upstream: u.entry.ID, Address: u.entry.Address, Engine: u.pipeline != nil})
		}
	}
	slices.SortFunc(cmds, func(a, b Cmd) int {
		return strings.Compare(a.(ProbeCmd).Upstream, b.(ProbeCmd).Upstream)
	})
	return cmds
}

// noteReport notes how slow an engine is, and how much memory it has left.
func (m *Model) noteReport(id string, report Report) {
	u := m.upstreams[id]
	if u == nil {
		return
	}
	if report.Pace > 0 {
		u.pace, u.paceAt = report.Pace, m.now
	}
	if report.All > 0 {
		u.reportedFree, u.reportedAt, u.reservedThen = report.Free, m.now, u.reserved
	}
}

// probed ends a suspicion, or goes on with it. An engine that was suspected and
// does not answer a probe either is taken as lost.
func (m *Model) probed(msg ProbedMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return nil
	}
	u.probing = false
	u.suspect = !msg.Answered
	m.noteReport(msg.Upstream, msg.Report)
	if msg.Answered {
		u.answeredAt = m.now
	} else {
		u.avoidUntil = m.now.Add(firstSuspicion)
	}
	if u.pipeline == nil || u.silent == !msg.Answered {
		return nil
	}
	u.silent = !msg.Answered
	return []Cmd{SilentCmd{Upstream: msg.Upstream, Silent: u.silent}}
}

package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// probes asks the upstreams that it is time to ask.
func (m *Model) probes() []Cmd {
	var cmds []Cmd
	for id, u := range m.watch {
		if m.upstreams[id] != u || !u.wanting() {
			delete(m.watch, id)
			continue
		}
		if u.needsProbe(m.now) {
			u.asksFate = u.wantsFate && !u.wantsProbe && m.now < u.avoidUntil
			u.probing, u.wantsReport, u.wantsProbe, u.wantsFate = true, false, false, false
			cmds = append(cmds, ProbeCmd{Upstream: u.entry.ID, Address: u.entry.Address, Engine: u.pipeline != nil})
		}
	}
	slices.SortFunc(cmds, func(a, b Cmd) int {
		return a.(ProbeCmd).Upstream.Compare(b.(ProbeCmd).Upstream)
	})
	return cmds
}

// noteReport notes how slow an engine is, and how much memory it has left.
func (m *Model) noteReport(id fleet.Incarnation, report Report) {
	u := m.upstreams[id]
	if u == nil {
		return
	}
	if report.Pace > 0 {
		u.pace, u.paceAt = report.Pace, m.now
		u.attend()
	}
	if report.All > 0 {
		u.reportedFree, u.reportedAt, u.reservedThen = report.Free, m.now, u.reserved
		u.explain(m.now, report)
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
	m.noteReport(msg.Upstream, msg.Report)
	if msg.Answered && msg.Report.Empty {
		// It has started again, and the list shows for some seconds what it held before. Each
		// node that believed that would have a request turned away.
		u.entry.Held = fleet.LayerRange{}
	}
	cmds := m.foundFate(u, msg)
	if u.asksFate {
		// Its suspicion has a time of its own: one that breaks requests off may answer this,
		// and one that is held up for a moment is not lost for that.
		return cmds
	}
	u.suspect = !msg.Answered
	if msg.Answered {
		u.answeredAt, u.probesLost = m.now, 0
	} else {
		u.avoidUntil = m.now.Add(min(firstSuspicion<<min(u.probesLost, 8), longestSilence))
		u.probesLost++
	}
	if u.pipeline == nil || u.silent == !msg.Answered {
		return cmds
	}
	u.silent = !msg.Answered
	agreed := u.silent && m.now <= u.toldAt.Add(m.toldLasts())
	return append(cmds, SilentCmd{Upstream: msg.Upstream, Silent: u.silent, Agreed: agreed})
}

const (
	// toldLasts is for how long another node's word on an engine's silence agrees with this
	// node's own finding: a probe follows within 0.1 s, and takes 0.16 s at the most.
	toldLasts clock.Millis = 1000
	// checkWithin is within what time a node that is told sums probes an engine that others
	// have found silent. The hubs do so at once; two hundred nodes that did so too would
	// ask each of a hundred lost engines at the same moment.
	checkWithin clock.Millis = 2000
)

// toldLasts is for how long another node's word on an engine's silence agrees with this
// node's own finding.
func (m *Model) toldLasts() clock.Millis {
	if m.summed {
		return toldLasts + checkWithin
	}
	return toldLasts
}

// toldSilent suspects an engine that another node has found silent. Without that each
// of sixty nodes sent requests over each of nine lost engines until it had found out by
// itself, and spent its budget of repeats on them. A probe ends the suspicion where the word
// was wrong: at the next tick, or later where many nodes are told.
func (m *Model) toldSilent(msg ToldSilentMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil || u.pipeline == nil {
		return nil
	}
	u.toldAt = m.now
	if u.suspect {
		return nil
	}
	u.suspect, u.cause = true, Slow
	u.attend()
	u.avoidUntil = m.now
	if m.summed {
		u.avoidUntil = m.now.Add(clock.Millis(m.random.Int64N(int64(checkWithin))))
	}
	return m.reconsider(u, nil)
}

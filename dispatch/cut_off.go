package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/reachability"
)

const (
	// confirmingProbes is the number of upstreams that are probed at a time to find out whether
	// doubtful links are cut.
	confirmingProbes = 2
	// cutProbeInterval is the pause between two probes of the upstreams of a data centre from which
	// the node is cut. One answer ends the cut.
	cutProbeInterval clock.Millis = 500
)

// cutFrom reports whether this node counts as cut from an upstream's data centre.
func (m *Model) cutFrom(u *upstream) bool {
	return len(m.cutCentres) > 0 && m.cutCentres[u.entry.DataCentre]
}

// avoidsLink reports whether a request is not sent to an upstream because of this node's links to its
// data centre. Doubtful links are avoided while another node may serve the request, and used for the
// requests of other nodes.
func (m *Model) avoidsLink(r *request, u *upstream) bool {
	if len(m.doubtfulCentres) > 0 && m.doubtfulCentres[u.entry.DataCentre] && r.arrival.Forwarded == nil && !r.trustsLinks {
		return true
	}
	return m.cutFrom(u)
}

// cutFromService reports whether this node is cut from all upstreams of a request's service that
// accept work.
func (m *Model) cutFromService(r *request) bool {
	return len(m.cutCentres) > 0 && !slices.ContainsFunc(m.byService[r.service.Name], func(u *upstream) bool {
		return u.acceptsWork() && !m.cutFrom(u)
	})
}

// reachChanged applies a change of the state of the links to a data centre. A node that knows no
// other node has nothing to gain from counting as cut, and goes on trying its upstreams.
func (m *Model) reachChanged(change reachability.Change, changed bool) []Cmd {
	if !changed {
		return nil
	}
	cmds := []Cmd{ReachCmd{change}}
	delete(m.doubtfulCentres, change.DataCentre)
	switch {
	case change.State == reachability.Doubtful && m.nodes.Len() > 0:
		m.doubtfulCentres[change.DataCentre] = true
	case change.State == reachability.Cut && m.nodes.Len() > 0:
		m.cutCentres[change.DataCentre] = true
		return slices.Concat(cmds, m.withdrawFindings(change.DataCentre), m.doubtOthers(change.DataCentre))
	case m.cutCentres[change.DataCentre]:
		delete(m.cutCentres, change.DataCentre)
		m.probeAfterCut(change.DataCentre)
	}
	return cmds
}

// doubtOthers makes the links to the data centres doubtful that have not answered since this node was
// cut from one of them.
func (m *Model) doubtOthers(cut string) []Cmd {
	var cmds []Cmd
	for _, dataCentre := range slices.Sorted(maps.Keys(m.listedIn)) {
		if dataCentre != cut {
			cmds = append(cmds, m.reachChanged(m.reach.Doubt(m.now, dataCentre, m.listedIn[dataCentre]))...)
		}
	}
	return cmds
}

// withdrawFindings takes back what this node has found about the upstreams of a data centre from
// which it is cut: it can't tell a crashed engine from one that it does not reach.
func (m *Model) withdrawFindings(dataCentre string) []Cmd {
	var cmds []Cmd
	for _, u := range m.upstreamsIn(dataCentre) {
		cmds = append(cmds, m.quarantineCmds(m.quarantine.Withdraw(m.now, u.entry.ID))...)
		if u.unresponsive {
			cmds = append(cmds, m.withdrawUnresponsive(u))
		}
	}
	return cmds
}

// withdrawUnresponsive takes back that an upstream is unresponsive.
func (m *Model) withdrawUnresponsive(u *upstream) Cmd {
	u.unresponsive = false
	m.countExecutions(u)
	return ResponsivenessCmd{Upstream: u.entry.ID}
}

// probeAfterCut schedules probes of the upstreams that are suspected since a cut, which has ended.
func (m *Model) probeAfterCut(dataCentre string) {
	for _, u := range m.upstreamsIn(dataCentre) {
		if u.suspected {
			u.earlyProbeWanted = true
			u.addProbeCandidate()
		}
	}
}

// scheduleReachProbes schedules the probes that find out whether doubtful links are cut and whether
// a cut has ended, also one that began while other nodes were known.
func (m *Model) scheduleReachProbes() {
	if m.nodes.Len() == 0 && len(m.doubtfulCentres)+len(m.cutCentres) == 0 {
		return
	}
	for _, dataCentre := range m.reach.Unsettled() {
		switch m.reach.State(dataCentre) {
		case reachability.Doubtful:
			m.confirmDoubt(dataCentre)
		case reachability.Cut:
			m.probeCutCentre(dataCentre)
		case reachability.Reached:
		}
	}
}

// confirmDoubt probes upstreams of a data centre that have not failed, first those that have answered
// before.
func (m *Model) confirmDoubt(dataCentre string) {
	list := slices.DeleteFunc(m.upstreamsIn(dataCentre), func(u *upstream) bool { return m.reach.HasFailed(u.link()) })
	m.shuffleAnsweredFirst(list)
	for _, u := range list[:min(confirmingProbes, len(list))] {
		if !u.probeInFlight {
			u.wantReachProbe()
		}
	}
}

// shuffleAnsweredFirst puts a list in random order, with the upstreams that have answered before first.
func (m *Model) shuffleAnsweredFirst(list []*upstream) {
	m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *upstream) int {
		return cmp.Compare(answerRank(m, a), answerRank(m, b))
	})
}

// probeCutCentre probes one upstream of a data centre at a time: in turn one that has answered before, and
// any, since those may all have ended.
func (m *Model) probeCutCentre(dataCentre string) {
	if m.now < m.cutProbedAt[dataCentre].Add(cutProbeInterval) {
		return
	}
	list := m.upstreamsIn(dataCentre)
	if len(list) == 0 {
		return
	}
	u := list[m.random.IntN(len(list))]
	if m.random.IntN(2) == 0 {
		m.shuffleAnsweredFirst(list)
		u = list[0]
	}
	if u.probeInFlight {
		return
	}
	m.cutProbedAt[dataCentre] = m.now
	u.wantReachProbe()
}

// answerRank is 0 for an upstream that has answered this node, and 1 for any other.
func answerRank(m *Model, u *upstream) int {
	if m.hasAnswered(u) {
		return 0
	}
	return 1
}

// upstreamsIn returns the upstreams of a data centre, sorted by ID. It visits all upstreams, and is
// only called while links are doubtful or cut.
func (m *Model) upstreamsIn(dataCentre string) []*upstream {
	var list []*upstream
	for _, u := range m.upstreams {
		if u.entry.DataCentre == dataCentre {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, compareByID)
	return list
}

// wantReachProbe schedules a probe of the upstream whether it is suspected or not.
func (u *upstream) wantReachProbe() {
	u.reachProbeWanted = true
	u.addProbeCandidate()
}

// hasChainBeyondReach reports whether a chain for a request exists if all engines that accept work
// are reached.
func (m *Model) hasChainBeyondReach(r *request) bool {
	conditions := chainConditions{backOffsUntil: m.now, ignoreReach: true}
	holders := m.holdersUnder(r, m.byService[r.service.Name], conditions, (*upstream).acceptsWork)
	_, err := chain.Build(r.service.Pipeline.Layers, r.memoryTokens, m.dataCentre, holders)
	return err == nil || errors.Is(err, chain.ErrNoMemory)
}

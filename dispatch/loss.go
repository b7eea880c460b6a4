package dispatch

import (
	"math"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// spreadCost is added to all but one of the engines that could begin a request whose work is
	// suspected, in ms per token. It outweighs a hop to another data centre, but not the penalty
	// of a suspected engine.
	spreadCost = 30.0
	// ownLossWindow is the time within which a crash must be found after this node lost a request
	// at an upstream. The upstream is probed 0.4 s after a first failure and 0.8 s after a second
	// one, and a probe takes 0.16 s. peerLossWindow is the time within which a crash must be
	// found after another node reported a loss: the entries of upstreams that this node does not
	// use disappear 4.5 s after the crash.
	ownLossWindow  clock.Millis = 1500
	peerLossWindow clock.Millis = 5000
	// canceledLossWindow is the time within which a crash must be found after the client of a
	// request disconnected. The upstream is not probed for that, since clients disconnect all the
	// time; other requests at the upstream reveal a crash.
	canceledLossWindow clock.Millis = 400
	// lossReviewInterval is the pause between reviews, which drop unconfirmed losses and probe
	// upstreams that may have crashed. A list is up to 1.25 s old, so an upstream that is missing
	// at two consecutive reviews has been removed.
	lossReviewInterval clock.Millis = 1000
)

// recordLoss records that an attempt failed without an answer. If its upstream is then found to
// have crashed, the request may be the cause. A request whose attempt delivered further events is
// cleared instead, since the upstream read it without crashing.
func (m *Model) recordLoss(r *request, msg AttemptFailedMsg) []Cmd {
	if msg.Cause != CauseUnknown && (msg.Cause != CauseNoProgress || m.overloaded) {
		return nil
	}
	if msg.Events > r.deliveredEvents {
		return m.quarantineCmds(m.quarantine.RequestAnswered(m.now, r.work.Content, true))
	}
	if u := m.faultyUpstream(r, msg); u != nil {
		return m.recordLossAt(r, u)
	}
	return nil
}

// recordLossAt records that a request was lost at an upstream. An upstream that is leaving is
// ignored, since its end is expected. Every upstream is probed after a failure anyway; if the
// same request was lost before, the upstreams that may have crashed are probed at the next tick.
func (m *Model) recordLossAt(r *request, u *upstream) []Cmd {
	if u.entry.Leaving || m.cutFrom(u) {
		return nil
	}
	cmds := m.recordOwnLoss(r, u.entry.ID, ownLossWindow)
	for _, id := range m.quarantine.Unresolved(r.work) {
		if lost := m.upstreams[id]; lost != nil {
			m.probeNextTick(lost)
		}
	}
	return cmds
}

// recordOwnLoss records that a request of this node was lost at an upstream.
func (m *Model) recordOwnLoss(r *request, id fleet.Incarnation, within clock.Millis) []Cmd {
	return m.quarantineCmds(m.quarantine.RecordLoss(m.now, quarantine.Loss{Request: r.work, Upstream: id, State: m.upstreamFate(id), Within: within, Local: true}))
}

// probeNextTick schedules a probe of an upstream for the next tick.
func (m *Model) probeNextTick(u *upstream) {
	u.addProbeCandidate()
	if u.suspected {
		u.crashCheckWanted = !u.unresponsive
		return
	}
	u.reportWanted = true
}

// maxCrashed bounds the recently removed upstreams that are remembered. No minute with twice as
// many removals has been observed.
const maxCrashed = 512

func newCrashed() *simplelru.LRU[fleet.Incarnation, bool] {
	ended, err := simplelru.NewLRU[fleet.Incarnation, bool](maxCrashed, nil)
	if err != nil {
		// NewLRU fails only for a size below one.
		panic(err)
	}
	return ended
}

// upstreamFate returns whether an upstream has crashed, as far as this node knows. An upstream
// that was never listed may be newer than the list, or may have started and ended between two
// versions of it. It counts as unresponsive, and is probed once it is listed.
func (m *Model) upstreamFate(id fleet.Incarnation) quarantine.UpstreamState {
	u := m.upstreams[id]
	switch {
	case u == nil && m.crashed.Contains(id), u != nil && u.crashed:
		return quarantine.Crashed
	case u == nil:
		return quarantine.Unresponsive
	case u.suspected && u.unansweredProbes > 0 && !m.cutFrom(u):
		return quarantine.Unresponsive
	}
	return quarantine.Unknown
}

// upstreamListed handles an upstream that has appeared in the list. If its entry had been removed
// before, the upstream may be alive after a false removal, or the list may be an old one, so a
// confirmed crash is taken back. The upstream is probed if a loss at it is undecided, which other
// nodes may have reported before it was listed.
func (m *Model) upstreamListed(u *upstream) {
	id := u.entry.ID
	if m.crashed.Remove(id) {
		m.quarantine.RevokeCrash(id)
	}
	if m.quarantine.HasUncertainLosses(id) {
		m.probeNextTick(u)
	}
}

// requestEnded drops a request. The client may have disconnected while the upstream crashed, so
// this records a loss if no answer had begun.
func (m *Model) requestEnded(msg RequestEndedMsg) []Cmd {
	r := m.requests[msg.Request]
	var cmds []Cmd
	if r != nil && r.progress == atUpstream && !r.answerBegun() && !r.firstUpstream.entry.Leaving && !m.cutFrom(r.firstUpstream) {
		cmds = m.recordOwnLoss(r, r.firstUpstream.entry.ID, canceledLossWindow)
	}
	if r == nil {
		return cmds
	}
	first := r.firstUpstream
	cmds = append(cmds, m.endCapacityWait(r, WaitLeft)...)
	m.dropRequest(msg.Request)
	return append(cmds, m.sendWaiters(r.service, first)...)
}

// recordPeerLoss records a loss that another node reported. This node checks the upstream itself,
// because the other node may be partitioned from it.
func (m *Model) recordPeerLoss(msg PeerLossMsg) []Cmd {
	fate := m.upstreamFate(msg.Upstream)
	if u := m.upstreams[msg.Upstream]; u != nil && fate == quarantine.Unknown {
		u.peerLostAt = m.now
		m.probeNextTick(u)
	}
	return m.quarantineCmds(m.quarantine.RecordLoss(m.now, quarantine.Loss{Request: msg.Request, Upstream: msg.Upstream, State: fate, Age: msg.Age, Within: peerLossWindow}))
}

// mergeQuarantined adopts requests that other nodes have quarantined. Suspected crashes only
// count if this node finds them itself, because the reporting node may be partitioned from the
// upstreams.
func (m *Model) mergeQuarantined(msg QuarantinedMsg) []Cmd {
	m.awaitsStoredQuarantine = false
	var cmds []Cmd
	for _, w := range msg.Works {
		if len(w.Ended) == 0 {
			cmds = append(cmds, m.quarantineCmds(m.quarantine.AdoptConfirmed(m.now, w.Work, w.Age))...)
		}
		for _, id := range w.Ended {
			cmds = append(cmds, m.recordPeerLoss(PeerLossMsg{Request: work.RequestOf(w.Work), Upstream: id, Age: w.Age})...)
		}
		cmds = append(cmds, m.quarantineCmds(m.quarantine.AdoptUnconfirmed(m.now, w.Work, w.Ended))...)
	}
	return cmds
}

func (m *Model) quarantineCmds(news []quarantine.Event) []Cmd {
	var cmds []Cmd
	for _, n := range news {
		cmds = append(cmds, QuarantineCmd{Event: n})
	}
	return cmds
}

// reviewLosses drops unconfirmed losses and probes upstreams that may have crashed.
func (m *Model) reviewLosses() []Cmd {
	cmds := m.quarantineCmds(m.quarantine.Review(m.now))
	if m.now < m.lossesReviewedAt.Add(lossReviewInterval) {
		return cmds
	}
	m.lossesReviewedAt = m.now
	m.quarantine.Expire(m.now)
	before := m.unlisted
	m.unlisted = make(map[fleet.Incarnation]bool)
	for _, id := range m.quarantine.Unconfirmed() {
		u := m.upstreams[id]
		switch {
		case u != nil:
			m.probeNextTick(u)
		case m.crashed.Contains(id), before[id]:
			cmds = append(cmds, m.quarantineCmds(m.quarantine.SetUpstreamState(m.now, id, quarantine.Crashed))...)
		case len(m.upstreams) > 0:
			// The list may be older than the upstream.
			m.unlisted[id] = true
		}
	}
	return cmds
}

// refuseQuarantined ends a request that is quarantined for crashing upstreams, by its own ID or by
// that of a part of its prompt.
func (m *Model) refuseQuarantined(r *request, by work.ID, remaining clock.Millis) []Cmd {
	status := http.StatusServiceUnavailable
	switch {
	case r.executions > 0:
		status, remaining = http.StatusBadGateway, 0
	case !m.quarantine.Confirmed(by):
		remaining = min(remaining, coverageGapRetryAfter)
	}
	cmd := m.response(r.arrival.Request, status, ReasonQuarantined, remaining)
	cmd.QuarantinedBy = by
	return m.respondOrAbort(r.arrival.Request, cmd, ReasonQuarantined)
}

// spreadSuspected adds spreadCost to all but one of the engines that could begin a request that is
// suspected by an ID. A hash that is equal on all nodes chooses the remaining engine. Requests that
// were lost together are thereby sent to different engines, and those that share a suspected part to
// the same one, so that the next loss shows which of them crashes engines.
func spreadSuspected(w work.ID, holders []chain.Holder) {
	chosen, least := -1, math.Inf(1)
	for i, h := range holders {
		if order := spreadOrder(w, h.ID); h.Held.From == 0 && order < least {
			chosen, least = i, order
		}
	}
	for i := range holders {
		if i != chosen {
			holders[i].EntryCost += spreadCost
		}
	}
}

// spreadOrder returns a hash of the ID of a request or a part and an upstream as a number from 0 up
// to 1. It orders the upstreams differently for each ID.
func spreadOrder(w work.ID, id fleet.Incarnation) float64 {
	var h xxhash.Digest
	h.Reset()
	// Writing to a hash cannot fail.
	_, _ = h.Write(w.Bytes())
	_, _ = h.WriteString(id.String())
	return float64(h.Sum64()>>11) / (1 << 53)
}

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
	// spreadCost keeps a request under which an upstream has ended off all but one of the
	// upstreams that could begin it, in ms for each token. It outweighs a crossing, and
	// not an engine under suspicion.
	spreadCost = 30.0
	// ownLossWindow is in what time it is found out whether an upstream has ended at which a
	// request was lost: it is probed 0.4 s after a failure, 0.8 s after a second one, and
	// a question takes 0.16 s. told is the same for one that another node has found to have
	// ended: the entries of those that this node does not use go 4.5 s after their end.
	ownLossWindow  clock.Millis = 1500
	peerLossWindow clock.Millis = 5000
	// canceledLossWindow is the same for one whose caller has left, and which is not asked: callers
	// leave all the time. Others that are served there find its end.
	canceledLossWindow clock.Millis = 400
	// lossReviewInterval is how often losses are dropped that were not found out, and upstreams
	// asked that may have ended. A list is up to 1.25 s old, so one that is not in it twice
	// in a row has gone from it.
	lossReviewInterval clock.Millis = 1000
)

// recordLoss takes in that an attempt has brought nothing. If its upstream is found to have
// ended, the request may have ended it: who has begun to answer has borne the beginning.
func (m *Model) recordLoss(r *request, msg AttemptFailedMsg) []Cmd {
	if msg.Cause != CauseUnknown && msg.Cause != CauseNoProgress {
		return nil
	}
	if msg.Events > r.deliveredEvents {
		return m.quarantineCmds(m.quarantine.RequestAnswered(m.now, r.work, true))
	}
	if at := m.faultyUpstream(r, msg); at != nil {
		return m.recordLossAt(r, at)
	}
	return nil
}

// recordLossAt takes in that a request was lost at an upstream. One that is leaving ends by itself.
// It is probed after its failure in any case; where the request was lost before, it is asked
// at once whether it has ended.
func (m *Model) recordLossAt(r *request, u *upstream) []Cmd {
	if u.entry.Leaving {
		return nil
	}
	cmds := m.quarantineCmds(m.quarantine.RecordLoss(m.now, r.work, u.entry.ID, m.upstreamFate(u.entry.ID), ownLossWindow, true))
	for _, id := range m.quarantine.Unresolved(r.work) {
		if at := m.upstreams[id]; at != nil {
			m.probeNextTick(at)
		}
	}
	return cmds
}

// probeNextTick has an upstream asked at the next tick.
func (m *Model) probeNextTick(u *upstream) {
	u.addProbeCandidate()
	if u.suspected {
		u.crashCheckWanted = !u.unresponsive
		return
	}
	u.reportWanted = true
}

// maxCrashed bounds the upstreams that are known to have gone. Twice as many have not been
// seen to go within a minute.
const maxCrashed = 512

func newCrashed() *simplelru.LRU[fleet.Incarnation, bool] {
	ended, err := simplelru.NewLRU[fleet.Incarnation, bool](maxCrashed, nil)
	if err != nil {
		// Only a size below one is refused.
		panic(err)
	}
	return ended
}

// upstreamFate is what is believed of an upstream's end. One that was never listed may be newer
// than the list, or have come and gone between two looks at it: it counts as silent, and is
// asked once it is listed.
func (m *Model) upstreamFate(id fleet.Incarnation) quarantine.UpstreamState {
	u := m.upstreams[id]
	switch {
	case u == nil && m.crashed.Contains(id), u != nil && u.crashed:
		return quarantine.Ended
	case u == nil:
		return quarantine.Unresponsive
	case u.suspected && u.unansweredProbes > 0:
		return quarantine.Unresponsive
	}
	return quarantine.Unknown
}

// upstreamListed takes in that an upstream is in the list. One whose entry had gone may live, and its
// entry have lapsed; or the list is an older one. Of one that was not listed before others
// may have told.
func (m *Model) upstreamListed(u *upstream) {
	id := u.entry.ID
	if m.crashed.Remove(id) {
		m.quarantine.RevokeCrash(id)
	}
	if m.quarantine.HasUncertainLosses(id) {
		m.probeNextTick(u)
	}
}

// requestEnded forgets a request. Its caller may have left while an upstream ended under it.
func (m *Model) requestEnded(msg RequestEndedMsg) []Cmd {
	r := m.requests[msg.Request]
	var cmds []Cmd
	if r != nil && r.firstUpstream != nil && !r.answerBegun() && !r.firstUpstream.entry.Leaving {
		id := r.firstUpstream.entry.ID
		cmds = m.quarantineCmds(m.quarantine.RecordLoss(m.now, r.work, id, m.upstreamFate(id), canceledLossWindow, true))
	}
	if r == nil {
		return cmds
	}
	first := r.firstUpstream
	m.dropRequest(msg.Request)
	return append(cmds, m.slotFreed(r.service.Name, first)...)
}

// recordPeerLoss takes in another node's loss. What has become of the upstream this node finds
// out by itself: the other one may be cut off from it.
func (m *Model) recordPeerLoss(msg PeerLossMsg) []Cmd {
	fate := m.upstreamFate(msg.Upstream)
	if u := m.upstreams[msg.Upstream]; u != nil && fate == quarantine.Unknown {
		m.probeNextTick(u)
	}
	return m.quarantineCmds(m.quarantine.RecordLoss(m.now, msg.Work, msg.Upstream, fate, peerLossWindow, false))
}

// mergeQuarantined takes requests that others have quarantined. Where it is not certain that
// upstreams have ended under one, each counts as far as this node believes that itself: who
// has told of it may be cut off from them.
func (m *Model) mergeQuarantined(msg QuarantinedMsg) []Cmd {
	m.awaitsStoredQuarantine = false
	var cmds []Cmd
	for _, w := range msg.Works {
		if len(w.Ended) == 0 {
			cmds = append(cmds, m.quarantineCmds(m.quarantine.AdoptConfirmed(m.now, w.Work, w.Age))...)
		}
		for _, id := range w.Ended {
			cmds = append(cmds, m.recordPeerLoss(PeerLossMsg{Work: w.Work, Upstream: id})...)
		}
		cmds = append(cmds, m.quarantineCmds(m.quarantine.AdoptUnconfirmed(m.now, w.Work, w.Ended))...)
	}
	return cmds
}

func (m *Model) quarantineCmds(news []quarantine.News) []Cmd {
	var cmds []Cmd
	for _, n := range news {
		cmds = append(cmds, QuarantineCmd{News: n})
	}
	return cmds
}

// reviewLosses drops losses that were not found out, and has upstreams asked that may have
// ended.
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
			cmds = append(cmds, m.quarantineCmds(m.quarantine.SetUpstreamState(m.now, id, quarantine.Ended))...)
		case len(m.upstreams) > 0:
			// The list may be older than it.
			m.unlisted[id] = true
		}
	}
	return cmds
}

// refuseQuarantined ends a request that has ended upstreams before.
func (m *Model) refuseQuarantined(r *request, left clock.Millis) []Cmd {
	id := r.arrival.Request
	if r.executions > 0 {
		return m.refuse(id, http.StatusBadGateway, ReasonQuarantined, 0)
	}
	if !m.quarantine.Confirmed(r.work) {
		left = min(left, coverageGapRetryAfter)
	}
	return m.refuse(id, http.StatusServiceUnavailable, ReasonQuarantined, left)
}

// spreadSuspectedWork keeps a request under suspicion off all but one of the engines that could
// begin it. Requests that were lost together then go to different ones, by a hash that all
// nodes agree on, so that the next loss tells them apart.
func spreadSuspectedWork(w work.ID, holders []chain.Holder) {
	best, least := -1, math.Inf(1)
	for i, h := range holders {
		if at := spreadOrder(w, h.ID); h.Held.From == 0 && at < least {
			best, least = i, at
		}
	}
	for i := range holders {
		if i != best {
			holders[i].EntryCost += spreadCost
		}
	}
}

// spreadOrder orders upstreams for a request, each request in another way: from 0 up to 1.
func spreadOrder(w work.ID, id fleet.Incarnation) float64 {
	var h xxhash.Digest
	h.Reset()
	// Writing to a hash cannot fail.
	_, _ = h.Write(w.Bytes())
	_, _ = h.WriteString(id.String())
	return float64(h.Sum64()>>11) / (1 << 53)
}

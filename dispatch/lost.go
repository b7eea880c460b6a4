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
	// apartCost keeps a request under which an upstream has ended off all but one of the
	// upstreams that could begin it, in ms for each token. It outweighs a crossing, and
	// not an engine under suspicion.
	apartCost = 30.0
	// probed is in what time it is found out whether an upstream has ended at which a
	// request was lost: it is probed 0.4 s after a failure, 0.8 s after a second one, and
	// a question takes 0.16 s. told is the same for one that another node has found to have
	// ended: the entries of those that this node does not use go 4.5 s after their end.
	probed clock.Millis = 1500
	told   clock.Millis = 5000
	// leftEarly is the same for one whose caller has left, and which is not asked: callers
	// leave all the time. Others that are served there find its end.
	leftEarly clock.Millis = 400
	// reviewEvery is how often losses are dropped that were not found out, and upstreams
	// asked that may have ended. A list is up to 1.25 s old, so one that is not in it twice
	// in a row has gone from it.
	reviewEvery clock.Millis = 1000
)

// noteLoss takes in that an attempt has brought nothing. If its upstream is found to have
// ended, the request may have ended it: who has begun to answer has borne the beginning.
func (m *Model) noteLoss(r *request, msg AttemptFailedMsg) []Cmd {
	if msg.Cause != Unknown && msg.Cause != Slow {
		return nil
	}
	if msg.Events > r.events {
		return m.tellNews(m.quarantine.RequestAnswered(m.now, r.work, true))
	}
	if at := m.atFault(r, msg); at != nil {
		return m.lostAt(r, at)
	}
	return nil
}

// lostAt takes in that a request was lost at an upstream. One that is leaving ends by itself.
// It is probed after its failure in any case; where the request was lost before, it is asked
// at once whether it has ended.
func (m *Model) lostAt(r *request, u *upstream) []Cmd {
	if u.entry.Leaving {
		return nil
	}
	cmds := m.tellNews(m.quarantine.RecordLoss(m.now, r.work, u.entry.ID, m.fate(u.entry.ID), probed, true))
	for _, id := range m.quarantine.Unresolved(r.work) {
		if at := m.upstreams[id]; at != nil {
			m.askSoon(at)
		}
	}
	return cmds
}

// askSoon has an upstream asked at the next tick.
func (m *Model) askSoon(u *upstream) {
	u.attend()
	if u.suspect {
		u.wantsFate = !u.silent
		return
	}
	u.wantsReport = true
}

// mostEnded bounds the upstreams that are known to have gone. Twice as many have not been
// seen to go within a minute.
const mostEnded = 512

func newEnded() *simplelru.LRU[fleet.Incarnation, bool] {
	ended, err := simplelru.NewLRU[fleet.Incarnation, bool](mostEnded, nil)
	if err != nil {
		// Only a size below one is refused.
		panic(err)
	}
	return ended
}

// fate is what is believed of an upstream's end. One that was never listed may be newer
// than the list, or have come and gone between two looks at it: it counts as silent, and is
// asked once it is listed.
func (m *Model) fate(id fleet.Incarnation) quarantine.UpstreamState {
	u := m.upstreams[id]
	switch {
	case u == nil && m.ended.Contains(id), u != nil && u.ended:
		return quarantine.Ended
	case u == nil:
		return quarantine.Unresponsive
	case u.suspect && u.probesLost > 0:
		return quarantine.Unresponsive
	}
	return quarantine.Unknown
}

// listed takes in that an upstream is in the list. One whose entry had gone may live, and its
// entry have lapsed; or the list is an older one. Of one that was not listed before others
// may have told.
func (m *Model) listed(u *upstream) {
	id := u.entry.ID
	if m.ended.Remove(id) {
		m.quarantine.RevokeCrash(id)
	}
	if m.quarantine.HasUncertainLosses(id) {
		m.askSoon(u)
	}
}

// gone forgets a request. Its caller may have left while an upstream ended under it.
func (m *Model) gone(msg GoneMsg) []Cmd {
	r := m.requests[msg.Request]
	var cmds []Cmd
	if r != nil && r.first != nil && !r.begun() && !r.first.entry.Leaving {
		id := r.first.entry.ID
		cmds = m.tellNews(m.quarantine.RecordLoss(m.now, r.work, id, m.fate(id), leftEarly, true))
	}
	if r == nil {
		return cmds
	}
	first := r.first
	m.forget(msg.Request)
	return append(cmds, m.takePlaces(r.service.Name, first)...)
}

// toldLost takes in another node's loss. What has become of the upstream this node finds
// out by itself: the other one may be cut off from it.
func (m *Model) toldLost(msg ToldLostMsg) []Cmd {
	fate := m.fate(msg.Upstream)
	if u := m.upstreams[msg.Upstream]; u != nil && fate == quarantine.Unknown {
		m.askSoon(u)
	}
	return m.tellNews(m.quarantine.RecordLoss(m.now, msg.Work, msg.Upstream, fate, told, false))
}

// learnQuarantined takes requests that others have quarantined. Where it is not certain that
// upstreams have ended under one, each counts as far as this node believes that itself: who
// has told of it may be cut off from them.
func (m *Model) learnQuarantined(msg QuarantinedMsg) []Cmd {
	m.awaitsQuarantine = false
	var cmds []Cmd
	for _, w := range msg.Works {
		if len(w.Ended) == 0 {
			cmds = append(cmds, m.tellNews(m.quarantine.AdoptConfirmed(m.now, w.Work, w.Age))...)
		}
		for _, id := range w.Ended {
			cmds = append(cmds, m.toldLost(ToldLostMsg{Work: w.Work, Upstream: id})...)
		}
		cmds = append(cmds, m.tellNews(m.quarantine.AdoptUnconfirmed(m.now, w.Work, w.Ended))...)
	}
	return cmds
}

func (m *Model) tellNews(news []quarantine.News) []Cmd {
	var cmds []Cmd
	for _, n := range news {
		cmds = append(cmds, QuarantineCmd{News: n})
	}
	return cmds
}

// reviewLosses drops losses that were not found out, and has upstreams asked that may have
// ended.
func (m *Model) reviewLosses() []Cmd {
	cmds := m.tellNews(m.quarantine.Review(m.now))
	if m.now < m.reviewed.Add(reviewEvery) {
		return cmds
	}
	m.reviewed = m.now
	m.quarantine.Expire(m.now)
	before := m.unlisted
	m.unlisted = make(map[fleet.Incarnation]bool)
	for _, id := range m.quarantine.Unconfirmed() {
		u := m.upstreams[id]
		switch {
		case u != nil:
			m.askSoon(u)
		case m.ended.Contains(id), before[id]:
			cmds = append(cmds, m.tellNews(m.quarantine.SetUpstreamState(m.now, id, quarantine.Ended))...)
		case len(m.upstreams) > 0:
			// The list may be older than it.
			m.unlisted[id] = true
		}
	}
	return cmds
}

// refuseQuarantined ends a request that has ended upstreams before.
func (m *Model) refuseQuarantined(r *request, left clock.Millis) []Cmd {
	id := r.msg.Request
	if r.runs > 0 {
		return m.refuse(id, http.StatusBadGateway, ReasonQuarantined, 0)
	}
	if !m.quarantine.Confirmed(r.work) {
		left = min(left, backHealing)
	}
	return m.refuse(id, http.StatusServiceUnavailable, ReasonQuarantined, left)
}

// spreadSuspect keeps a request under suspicion off all but one of the engines that could
// begin it. Requests that were lost together then go to different ones, by a hash that all
// nodes agree on, so that the next loss tells them apart.
func spreadSuspect(w work.ID, holders []chain.Holder) {
	best, least := -1, math.Inf(1)
	for i, h := range holders {
		if at := apart(w, h.ID); h.Held.From == 0 && at < least {
			best, least = i, at
		}
	}
	for i := range holders {
		if i != best {
			holders[i].EntryCost += apartCost
		}
	}
}

// apart orders upstreams for a request, each request in another way: from 0 up to 1.
func apart(w work.ID, id fleet.Incarnation) float64 {
	var h xxhash.Digest
	h.Reset()
	// Writing to a hash cannot fail.
	_, _ = h.Write(w.Bytes())
	_, _ = h.WriteString(id.String())
	return float64(h.Sum64()>>11) / (1 << 53)
}

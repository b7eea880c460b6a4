package quarantine

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// lateReportWindow is for how long after an answer losses of before may still be told.
	lateReportWindow clock.Millis = 3000
	// maxLosses bounds the losses that are known of one work.
	maxLosses = 10
)

// RecordLoss takes in that an attempt at an upstream has brought nothing, and what is believed of
// the upstream. Own is set where this node has made it; others are told once the upstream
// is found to have ended. An end that is found later than within a time says nothing of
// the work.
func (t *Table) RecordLoss(now clock.Millis, w work.ID, id fleet.Incarnation, fate UpstreamState, within clock.Millis, own bool) []News {
	u := t.upstream(id)
	// Others that were lost there may have been waiting for that.
	news := t.SetUpstreamState(now, id, fate)
	if t.quarantined.Contains(w) {
		return news
	}
	s := t.suspect(w)
	_, known := s.losses[id]
	if known || now <= s.answeredAt.Add(lateReportWindow) || len(s.losses) >= maxLosses {
		return news
	}
	s.losses[id] = loss{countsUntil: now.Add(within), explained: !u.culprit.IsZero()}
	s.lastLossAt = now
	u.lost[w] = own
	if u.state == Unknown {
		return news
	}
	return append(news, t.evaluateLoss(now, id, u, w)...)
}

// SetUpstreamState takes in what has become of an upstream.
func (t *Table) SetUpstreamState(now clock.Millis, id fleet.Incarnation, fate UpstreamState) []News {
	u, ok := t.upstreams.Peek(id)
	if !ok || u.state >= fate {
		return nil
	}
	first := u.state == Unknown
	u.state = fate
	if !first {
		return t.confirm(u.culprit)
	}
	var news []News
	for _, w := range sortedIDs(u.lost) {
		news = append(news, t.evaluateLoss(now, id, u, w)...)
	}
	return news
}

// evaluateLoss takes in that an upstream under which a work was lost has ended or is silent.
func (t *Table) evaluateLoss(now clock.Millis, id fleet.Incarnation, u *upstream, w work.ID) []News {
	if s, ok := t.suspects.Peek(w); !ok || now > s.losses[id].countsUntil {
		t.removeLoss(w, id)
		return nil
	}
	var news []News
	if u.lost[w] {
		news = append(news, LossNews{Work: w, Upstream: id})
	}
	return append(news, t.evaluate(now, w)...)
}

// UpstreamAnswered takes in that an upstream answers: what was lost there was not its end.
func (t *Table) UpstreamAnswered(id fleet.Incarnation) []News {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return nil
	}
	t.upstreams.Remove(id)
	for w := range u.lost {
		t.removeLoss(w, id)
	}
	h, ok := t.quarantined.Peek(u.culprit)
	if !ok || h.confirmed {
		return nil
	}
	h.crashed = slices.DeleteFunc(h.crashed, func(e fleet.Incarnation) bool { return e == id })
	if len(h.crashed) >= crashThreshold {
		return nil
	}
	t.release(u.culprit, h)
	return []News{ClearedNews{Work: u.culprit, WasQuarantined: true, LostLocally: h.local}}
}

// RequestAnswered takes in that an upstream has answered a work. Own is set where this node has
// brought the answer.
func (t *Table) RequestAnswered(now clock.Millis, w work.ID, own bool) []News {
	h, wasHeld := t.quarantined.Peek(w)
	suspected := t.IsSuspect(w)
	if s, ok := t.suspects.Peek(w); ok {
		for id := range s.losses {
			t.removeLoss(w, id)
		}
	}
	if !wasHeld && !suspected {
		return nil
	}
	if wasHeld {
		t.release(w, h)
	}
	t.suspect(w).answeredAt = now
	return []News{ClearedNews{Work: w, Local: own, WasQuarantined: wasHeld}}
}

// Expire forgets losses at upstreams that were not found to have ended.
func (t *Table) Expire(now clock.Millis) {
	for _, id := range t.upstreams.Keys() {
		u, _ := t.upstreams.Peek(id)
		if u.state != Unknown {
			continue
		}
		for w := range u.lost {
			if s, ok := t.suspects.Peek(w); !ok || now > s.losses[id].countsUntil {
				t.removeLoss(w, id)
			}
		}
		if len(u.lost) == 0 {
			t.upstreams.Remove(id)
		}
	}
}

// removeLoss drops a loss.
func (t *Table) removeLoss(w work.ID, id fleet.Incarnation) {
	if s, ok := t.suspects.Peek(w); ok {
		delete(s.losses, id)
	}
	if u, ok := t.upstreams.Peek(id); ok {
		delete(u.lost, w)
	}
}

// sortedIDs returns works in order, so that the same news follows from the same facts.
func sortedIDs(works map[work.ID]bool) []work.ID {
	return slices.SortedFunc(maps.Keys(works), work.ID.Compare)
}

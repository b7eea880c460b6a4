package quarantine

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// answeredLasts is for how long after an answer losses of before may still be told.
	answeredLasts clock.Millis = 3000
	// mostLosses bounds the losses that are known of one work.
	mostLosses = 10
)

// Lost takes in that an attempt at an upstream has brought nothing, and what is believed of
// the upstream. Own is set where this node has made it; others are told once the upstream
// is found to have ended. An end that is found later than within a time says nothing of
// the work.
func (t *Table) Lost(now clock.Millis, w work.ID, id fleet.Incarnation, fate Fate, within clock.Millis, own bool) []News {
	u := t.upstream(id)
	// Others that were lost there may have been waiting for that.
	news := t.Found(now, id, fate)
	if t.held.Contains(w) {
		return news
	}
	s := t.suspect(w)
	_, known := s.lost[id]
	if known || now <= s.answeredAt.Add(answeredLasts) || len(s.lost) >= mostLosses {
		return news
	}
	s.lost[id] = loss{until: now.Add(within), explained: !u.blamed.IsZero()}
	s.lostAt = now
	u.works[w] = own
	if u.fate == Unknown {
		return news
	}
	return append(news, t.ended(now, id, u, w)...)
}

// Found takes in what has become of an upstream.
func (t *Table) Found(now clock.Millis, id fleet.Incarnation, fate Fate) []News {
	u, ok := t.upstreams.Peek(id)
	if !ok || u.fate >= fate {
		return nil
	}
	first := u.fate == Unknown
	u.fate = fate
	if !first {
		return t.confirm(u.blamed)
	}
	var news []News
	for _, w := range sorted(u.works) {
		news = append(news, t.ended(now, id, u, w)...)
	}
	return news
}

// ended takes in that an upstream under which a work was lost has ended or is silent.
func (t *Table) ended(now clock.Millis, id fleet.Incarnation, u *upstream, w work.ID) []News {
	if s, ok := t.suspects.Peek(w); !ok || now > s.lost[id].until {
		t.forget(w, id)
		return nil
	}
	var news []News
	if u.works[w] {
		news = append(news, LostNews{Work: w, Upstream: id})
	}
	return append(news, t.judge(now, w)...)
}

// Answers takes in that an upstream answers: what was lost there was not its end.
func (t *Table) Answers(id fleet.Incarnation) []News {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return nil
	}
	t.upstreams.Remove(id)
	for w := range u.works {
		t.forget(w, id)
	}
	h, ok := t.held.Peek(u.blamed)
	if !ok || h.certain {
		return nil
	}
	h.ended = slices.DeleteFunc(h.ended, func(e fleet.Incarnation) bool { return e == id })
	if len(h.ended) >= mostEnds {
		return nil
	}
	t.release(u.blamed, h)
	return []News{ClearedNews{Work: u.blamed, Held: true, Lost: h.own}}
}

// Answered takes in that an upstream has answered a work. Own is set where this node has
// brought the answer.
func (t *Table) Answered(now clock.Millis, w work.ID, own bool) []News {
	h, wasHeld := t.held.Peek(w)
	suspected := t.Suspects(w)
	if s, ok := t.suspects.Peek(w); ok {
		for id := range s.lost {
			t.forget(w, id)
		}
	}
	if !wasHeld && !suspected {
		return nil
	}
	if wasHeld {
		t.release(w, h)
	}
	t.suspect(w).answeredAt = now
	return []News{ClearedNews{Work: w, Own: own, Held: wasHeld}}
}

// Expire forgets losses at upstreams that were not found to have ended.
func (t *Table) Expire(now clock.Millis) {
	for _, id := range t.upstreams.Keys() {
		u, _ := t.upstreams.Peek(id)
		if u.fate != Unknown {
			continue
		}
		for w := range u.works {
			if s, ok := t.suspects.Peek(w); !ok || now > s.lost[id].until {
				t.forget(w, id)
			}
		}
		if len(u.works) == 0 {
			t.upstreams.Remove(id)
		}
	}
}

// forget drops a loss.
func (t *Table) forget(w work.ID, id fleet.Incarnation) {
	if s, ok := t.suspects.Peek(w); ok {
		delete(s.lost, id)
	}
	if u, ok := t.upstreams.Peek(id); ok {
		delete(u.works, w)
	}
}

// sorted returns works in order, so that the same news follows from the same facts.
func sorted(works map[work.ID]bool) []work.ID {
	return slices.SortedFunc(maps.Keys(works), work.ID.Compare)
}

package quarantine

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// Learn takes a work that others have quarantined for some time, and the upstreams that
// they think have ended under it; none where that is certain.
func (t *Table) Learn(now clock.Millis, w work.ID, age clock.Millis, ended []fleet.Incarnation) []News {
	if h, ok := t.held.Peek(w); ok {
		return t.learnCertain(w, h, ended)
	}
	if s, ok := t.suspects.Peek(w); age >= t.lasts || ok && now <= s.answeredAt.Add(answeredLasts) {
		return nil
	}
	t.suspects.Remove(w)
	t.held.Add(w, &held{since: now.Sub(max(age, 0)), ended: slices.Clone(ended), certain: len(ended) == 0})
	for _, id := range ended {
		u := t.upstream(id)
		u.fate = max(u.fate, Silent)
		t.blame(id, w)
	}
	return append([]News{HeldNews{Work: w, Ended: ended}}, t.confirm(w)...)
}

// learnCertain takes in that others know the ends for certain under a work that is in
// quarantine already.
func (t *Table) learnCertain(w work.ID, h *held, ended []fleet.Incarnation) []News {
	if h.certain || len(ended) > 0 {
		return nil
	}
	h.certain, h.ended = true, nil
	return []News{CertainNews{Work: w}}
}

// Doubtful returns the upstreams that are thought, and not certain, to have ended under
// works in quarantine.
func (t *Table) Doubtful() []fleet.Incarnation {
	var doubtful []fleet.Incarnation
	for _, w := range t.held.Keys() {
		h, _ := t.held.Peek(w)
		for _, id := range h.ended {
			if u, ok := t.upstreams.Peek(id); ok && u.fate != Ended {
				doubtful = append(doubtful, id)
			}
		}
	}
	return doubtful
}

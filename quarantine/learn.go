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

// Doubtful returns the upstreams of which it is not known, or not certain, whether they have
// ended, and on which a verdict may hang.
func (t *Table) Doubtful() []fleet.Incarnation {
	return slices.DeleteFunc(t.upstreams.Keys(), func(id fleet.Incarnation) bool { return !t.Doubts(id) })
}

// Doubts tells whether an upstream is one of those.
func (t *Table) Doubts(id fleet.Incarnation) bool {
	u, ok := t.upstreams.Peek(id)
	return ok && u.fate != Ended
}

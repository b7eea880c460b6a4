package quarantine

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// Learn takes a work that others have quarantined for some time, since upstreams have ended
// under it for certain. What is less than certain is told as losses.
func (t *Table) Learn(now clock.Millis, w work.ID, age clock.Millis) []News {
	if h, ok := t.held.Peek(w); ok {
		if h.certain {
			return nil
		}
		h.certain, h.ended = true, nil
		return []News{CertainNews{Work: w}}
	}
	if s, ok := t.suspects.Peek(w); age >= t.lasts || ok && now <= s.answeredAt.Add(answeredLasts) {
		return nil
	}
	t.suspects.Remove(w)
	t.held.Add(w, &held{since: now.Sub(max(age, 0)), certain: true})
	return []News{HeldNews{Work: w}}
}

// Agree takes the upstreams for which others have quarantined a work, and quarantines it too
// if this node believes of enough of them that they have ended. What else was lost there the
// others have weighed.
func (t *Table) Agree(now clock.Millis, w work.ID, ended []fleet.Incarnation) []News {
	ends := slices.DeleteFunc(slices.Clone(ended), func(id fleet.Incarnation) bool {
		u, ok := t.upstreams.Peek(id)
		return !ok || u.fate == Unknown
	})
	if s, ok := t.suspects.Peek(w); t.held.Contains(w) || !ok || len(s.lost) == 0 || len(ends) < mostEnds {
		return nil
	}
	return t.hold(now, w, ends)
}

// Pending returns the upstreams where a work was lost and of which it is not known whether
// they have ended, if it was lost before. A single loss is what many works have when an
// upstream ends, and can wait.
func (t *Table) Pending(w work.ID) []fleet.Incarnation {
	s, ok := t.suspects.Peek(w)
	if !ok || len(s.lost) < 2 {
		return nil
	}
	var pending []fleet.Incarnation
	for id := range s.lost {
		if u, ok := t.upstreams.Peek(id); ok && u.fate == Unknown {
			pending = append(pending, id)
		}
	}
	slices.SortFunc(pending, fleet.Incarnation.Compare)
	return pending
}

// Doubtful returns the upstreams that are thought, and not certain, to have ended under works
// in quarantine.
func (t *Table) Doubtful() []fleet.Incarnation {
	return slices.DeleteFunc(t.upstreams.Keys(), func(id fleet.Incarnation) bool {
		u, _ := t.upstreams.Peek(id)
		h, ok := t.held.Peek(u.blamed)
		return !ok || h.certain || u.fate == Ended
	})
}

// Disputes returns the upstreams of which it matters whether they have ended, and is not
// certain.
func (t *Table) Disputes() []fleet.Incarnation {
	return slices.DeleteFunc(t.upstreams.Keys(), func(id fleet.Incarnation) bool { return !t.Disputed(id) })
}

// Disputed tells whether it matters that an upstream has ended, and is not certain: it is
// thought to have, or a work was lost there that was lost elsewhere too.
func (t *Table) Disputed(id fleet.Incarnation) bool {
	u, ok := t.upstreams.Peek(id)
	switch {
	case !ok || u.fate == Ended:
		return false
	case u.fate == Silent:
		return true
	}
	for w := range u.works {
		if s, ok := t.suspects.Peek(w); ok && len(s.lost) > 1 {
			return true
		}
	}
	return false
}

// Doubt takes back that an upstream has ended for certain: it may live.
func (t *Table) Doubt(id fleet.Incarnation) {
	if u, ok := t.upstreams.Peek(id); ok && u.fate == Ended {
		u.fate = Silent
	}
}

// Doubts tells whether anything hangs on an upstream of which it is not certain whether it
// has ended.
func (t *Table) Doubts(id fleet.Incarnation) bool {
	u, ok := t.upstreams.Peek(id)
	return ok && u.fate != Ended
}

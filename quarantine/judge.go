package quarantine

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// Measured by crowd_test.go, which plays nodes and upstreams of the users' smaller
// deployments with one and with three deadly requests at the same moment, 200 seeds of 30 s
// each: none of 713,000 others refused, and no deadly one sent more than three times later
// than 3 s after its third end. Judged without waiting for word of what else was lost, 13 of
// the others were refused.
const (
	// mostEnds is how many upstreams may end under a work before it is quarantined, if
	// nothing else explains them. It is the users' figure.
	mostEnds = 3
	// certainEnds is how many ends without an answer between quarantine a work of which
	// at least one end is not explained: where several works end upstreams, one may
	// explain much of what another one has ended.
	certainEnds = 4
	// undisputedEnds is how many do so whatever else was lost there.
	undisputedEnds = 6
	// settles is for how long after a work's last loss word is awaited of what else was
	// lost where it was: where works were lost before, an upstream's end is found out within
	// 0.26 s, and told at once.
	settles clock.Millis = 300
)

// judge quarantines a work if enough upstreams have ended under it that nothing else
// explains.
func (t *Table) judge(now clock.Millis, w work.ID) []News {
	ends := t.convicting(w)
	if len(ends) == 0 {
		return nil
	}
	s, _ := t.suspects.Peek(w)
	if now < s.lostAt.Add(settles) && len(ends) < undisputedEnds && t.companions(w, ends) {
		t.contested[w] = true
		return nil
	}
	return t.hold(now, w, ends)
}

// hold quarantines a work for upstreams that have ended under it.
func (t *Table) hold(now clock.Millis, w work.ID, ends []fleet.Incarnation) []News {
	t.suspects.Remove(w)
	h := &held{since: now, ended: ends, own: t.lostHere(w, ends)}
	t.held.Add(w, h)
	for _, id := range ends {
		t.blame(id, w)
	}
	return append([]News{HeldNews{Work: w, Ended: ends, Own: h.own}}, t.confirm(w)...)
}

// Review judges works that have waited for word of what else was lost where they were.
func (t *Table) Review(now clock.Millis) []News {
	var news []News
	for _, w := range sorted(t.contested) {
		delete(t.contested, w)
		news = append(news, t.judge(now, w)...)
	}
	return news
}

// convicting returns the ends for which a work is to be quarantined; none if these are too
// few.
func (t *Table) convicting(w work.ID) []fleet.Incarnation {
	unexplained, all := t.ends(w, false), t.ends(w, true)
	switch {
	case len(unexplained) >= mostEnds && !t.shared(w, unexplained):
		return unexplained
	case len(unexplained) > 0 && len(all) >= certainEnds:
		return all
	}
	return nil
}

// shared tells whether other works may have ended each of the upstreams that have ended
// under one: works that have lost as many.
func (t *Table) shared(w work.ID, ends []fleet.Incarnation) bool {
	return !slices.ContainsFunc(ends, func(id fleet.Incarnation) bool { return !t.alsoLost(id, w, len(ends)) })
}

// companions tells whether any other work was lost at one of some upstreams.
func (t *Table) companions(w work.ID, ends []fleet.Incarnation) bool {
	return slices.ContainsFunc(ends, func(id fleet.Incarnation) bool { return t.alsoLost(id, w, 1) })
}

// alsoLost tells whether another work was lost at an upstream, and at so many in all.
func (t *Table) alsoLost(id fleet.Incarnation, butFor work.ID, most int) bool {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return false
	}
	for other := range u.works {
		if other != butFor && len(t.ends(other, true)) >= most {
			return true
		}
	}
	return false
}

// lostHere tells whether this node has lost a work at one of some upstreams.
func (t *Table) lostHere(w work.ID, ends []fleet.Incarnation) bool {
	return slices.ContainsFunc(ends, func(id fleet.Incarnation) bool {
		u, ok := t.upstreams.Peek(id)
		return ok && u.works[w]
	})
}

// ends returns the upstreams that have ended under a work, in order: all of them, or
// those whose end no other work explains.
func (t *Table) ends(w work.ID, all bool) []fleet.Incarnation {
	s, ok := t.suspects.Peek(w)
	if !ok {
		return nil
	}
	var ends []fleet.Incarnation
	for id, l := range s.lost {
		if u, ok := t.upstreams.Peek(id); ok && u.fate != Unknown && (all || !l.explained) {
			ends = append(ends, id)
		}
	}
	slices.SortFunc(ends, fleet.Incarnation.Compare)
	return ends
}

// blame has a work explain an upstream's end: it does not count against others.
func (t *Table) blame(id fleet.Incarnation, w work.ID) {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return
	}
	u.blamed = w
	for other := range u.works {
		if s, ok := t.suspects.Peek(other); ok {
			s.lost[id] = loss{until: s.lost[id].until, explained: true}
		}
	}
}

// confirm tells when enough upstreams have ended for certain under a work in quarantine.
func (t *Table) confirm(w work.ID) []News {
	h, ok := t.held.Peek(w)
	if !ok || h.certain {
		return nil
	}
	certain := 0
	for _, id := range h.ended {
		if u, ok := t.upstreams.Peek(id); ok && u.fate == Ended {
			certain++
		}
	}
	if certain < mostEnds {
		return nil
	}
	h.certain, h.ended = true, nil
	return []News{CertainNews{Work: w, Own: h.own}}
}

// release takes a work out of quarantine. What it explained stays explained: who else was
// lost there was not under suspicion alone.
func (t *Table) release(w work.ID, h *held) {
	t.held.Remove(w)
	for _, id := range h.ended {
		t.upstreams.Remove(id)
	}
}

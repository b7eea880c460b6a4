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
	// crashThreshold is how many upstreams may end under a work before it is quarantined, if
	// nothing else explains them. It is the users' figure.
	crashThreshold = 3
	// partlyExplainedThreshold is how many ends without an answer between quarantine a work of which
	// at least one end is not explained: where several works end upstreams, one may
	// explain much of what another one has ended.
	partlyExplainedThreshold = 4
	// immediateThreshold is how many do so whatever else was lost there.
	immediateThreshold = 6
	// reportDelay is for how long after a work's last loss word is awaited of what else was
	// lost where it was: where works were lost before, an upstream's end is found out within
	// 0.26 s, and told at once.
	reportDelay clock.Millis = 300
)

// evaluate quarantines a work if enough upstreams have ended under it that nothing else
// explains.
func (t *Table) evaluate(now clock.Millis, w work.ID) []News {
	ends := t.evidence(w)
	if len(ends) == 0 {
		return nil
	}
	s, _ := t.suspects.Peek(w)
	if now < s.lastLossAt.Add(reportDelay) && len(ends) < immediateThreshold && t.otherLossesAt(w, ends) {
		t.deferred[w] = true
		return nil
	}
	return t.quarantine(now, w, ends)
}

// quarantine quarantines a work for upstreams that have ended under it.
func (t *Table) quarantine(now clock.Millis, w work.ID, ends []fleet.Incarnation) []News {
	t.suspects.Remove(w)
	h := &quarantineEntry{since: now, crashed: ends, local: t.lostLocally(w, ends)}
	t.quarantined.Add(w, h)
	for _, id := range ends {
		t.attribute(id, w)
	}
	return append([]News{QuarantinedNews{Work: w, Ended: ends, Local: h.local}}, t.confirm(w)...)
}

// Review judges works that have waited for word of what else was lost where they were.
func (t *Table) Review(now clock.Millis) []News {
	var news []News
	for _, w := range sortedIDs(t.deferred) {
		delete(t.deferred, w)
		news = append(news, t.evaluate(now, w)...)
	}
	return news
}

// evidence returns the ends for which a work is to be quarantined; none if these are too
// few.
func (t *Table) evidence(w work.ID) []fleet.Incarnation {
	unexplained, all := t.crashes(w, false), t.crashes(w, true)
	switch {
	case len(unexplained) >= crashThreshold && !t.ambiguous(w, unexplained):
		return unexplained
	case len(unexplained) > 0 && len(all) >= partlyExplainedThreshold:
		return all
	}
	return nil
}

// ambiguous tells whether other works may have ended each of the upstreams that have ended
// under one: works that have lost as many.
func (t *Table) ambiguous(w work.ID, ends []fleet.Incarnation) bool {
	return !slices.ContainsFunc(ends, func(id fleet.Incarnation) bool { return !t.lostByOther(id, w, len(ends)) })
}

// otherLossesAt tells whether any other work was lost at one of some upstreams.
func (t *Table) otherLossesAt(w work.ID, ends []fleet.Incarnation) bool {
	return slices.ContainsFunc(ends, func(id fleet.Incarnation) bool { return t.lostByOther(id, w, 1) })
}

// lostByOther tells whether another work was lost at an upstream, and at so many in all.
func (t *Table) lostByOther(id fleet.Incarnation, butFor work.ID, most int) bool {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return false
	}
	for other := range u.lost {
		if other != butFor && len(t.crashes(other, true)) >= most {
			return true
		}
	}
	return false
}

// lostLocally tells whether this node has lost a work at one of some upstreams.
func (t *Table) lostLocally(w work.ID, ends []fleet.Incarnation) bool {
	return slices.ContainsFunc(ends, func(id fleet.Incarnation) bool {
		u, ok := t.upstreams.Peek(id)
		return ok && u.lost[w]
	})
}

// crashes returns the upstreams that have ended under a work, in order: all of them, or
// those whose end no other work explains.
func (t *Table) crashes(w work.ID, all bool) []fleet.Incarnation {
	s, ok := t.suspects.Peek(w)
	if !ok {
		return nil
	}
	var ends []fleet.Incarnation
	for id, l := range s.losses {
		if u, ok := t.upstreams.Peek(id); ok && u.state != Unknown && (all || !l.explained) {
			ends = append(ends, id)
		}
	}
	slices.SortFunc(ends, fleet.Incarnation.Compare)
	return ends
}

// attribute has a work explain an upstream's end: it does not count against others.
func (t *Table) attribute(id fleet.Incarnation, w work.ID) {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return
	}
	u.culprit = w
	for other := range u.lost {
		if s, ok := t.suspects.Peek(other); ok {
			s.losses[id] = loss{countsUntil: s.losses[id].countsUntil, explained: true}
		}
	}
}

// confirm tells when enough upstreams have ended for certain under a work in quarantine.
func (t *Table) confirm(w work.ID) []News {
	h, ok := t.quarantined.Peek(w)
	if !ok || h.confirmed {
		return nil
	}
	certain := 0
	for _, id := range h.crashed {
		if u, ok := t.upstreams.Peek(id); ok && u.state == Ended {
			certain++
		}
	}
	if certain < crashThreshold {
		return nil
	}
	h.confirmed, h.crashed = true, nil
	return []News{ConfirmedNews{Work: w, Local: h.local}}
}

// release takes a work out of quarantine. What it explained stays explained: who else was
// lost there was not under suspicion alone.
func (t *Table) release(w work.ID, h *quarantineEntry) {
	t.quarantined.Remove(w)
	for _, id := range h.crashed {
		t.upstreams.Remove(id)
	}
}

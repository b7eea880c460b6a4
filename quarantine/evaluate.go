package quarantine

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// The thresholds are checked by cluster_test.go, which simulates nodes and upstreams of the
// users' smaller deployments with one and with three concurrent poison requests. In 200 seeds
// of 30 s each, none of 713,000 ordinary requests was rejected, and no poison request was sent
// more than three times later than 3 s after its third crash. Without reportDelay, 13 ordinary
// requests were rejected.
const (
	// crashThreshold is how many crashes quarantine a request if no other request explains
	// them. The users chose the value.
	crashThreshold = 3
	// partlyExplainedThreshold is how many crashes without a response in between quarantine a
	// request if at least one of them is unexplained. Where several requests crash upstreams,
	// one of them can explain many of the crashes that another one caused.
	partlyExplainedThreshold = 4
	// immediateThreshold is how many crashes quarantine a request regardless of what else was
	// lost at the same upstreams.
	immediateThreshold = 6
	// reportDelay is how long after a request's last loss the table waits for reports of other
	// requests that were lost at the same upstreams. At an upstream where requests were lost
	// before, a crash is detected within 0.26 s and reported at once.
	reportDelay clock.Millis = 300
)

// evaluate quarantines a request if enough upstreams have crashed under it and no other request
// explains the crashes.
func (t *Table) evaluate(now clock.Millis, w work.ID) []Event {
	crashes := t.evidence(w)
	if len(crashes) == 0 {
		return nil
	}
	s, _ := t.suspects.Peek(w)
	if now < s.lastLossAt.Add(reportDelay) && len(crashes) < immediateThreshold && t.otherLossesAt(w, crashes) {
		t.deferred[w] = true
		return nil
	}
	return t.quarantine(now, w, crashes)
}

// quarantine quarantines a request for the crashes of some upstreams.
func (t *Table) quarantine(now clock.Millis, w work.ID, crashes []fleet.Incarnation) []Event {
	t.suspects.Remove(w)
	q := &quarantineEntry{since: now, crashed: crashes, local: t.lostLocally(w, crashes)}
	t.quarantined.Add(w, q)
	for _, id := range crashes {
		t.attribute(id, w)
	}
	return append([]Event{QuarantinedEvent{Work: w, Crashed: crashes, Local: q.local}}, t.confirm(w)...)
}

// Review evaluates the requests that were waiting for reports of other losses.
func (t *Table) Review(now clock.Millis) []Event {
	var events []Event
	for _, w := range sortedIDs(t.deferred) {
		delete(t.deferred, w)
		events = append(events, t.evaluate(now, w)...)
	}
	return events
}

// evidence returns the crashes for which a request is to be quarantined, or none if they do not
// suffice.
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

// ambiguous reports whether each of a request's crashes may have been caused by another
// request: one that was lost at the same upstream and has at least as many crashes in total.
func (t *Table) ambiguous(w work.ID, crashes []fleet.Incarnation) bool {
	return !slices.ContainsFunc(crashes, func(id fleet.Incarnation) bool { return !t.lostByOther(id, w, len(crashes)) })
}

// otherLossesAt reports whether any other request was lost at one of some upstreams.
func (t *Table) otherLossesAt(w work.ID, crashes []fleet.Incarnation) bool {
	return slices.ContainsFunc(crashes, func(id fleet.Incarnation) bool { return t.lostByOther(id, w, 1) })
}

// lostByOther reports whether a request other than w was lost at an upstream and has at least a
// number of crashes in total.
func (t *Table) lostByOther(id fleet.Incarnation, except work.ID, minCrashes int) bool {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return false
	}
	for other := range u.lost {
		if other != except && len(t.crashes(other, true)) >= minCrashes {
			return true
		}
	}
	return false
}

// lostLocally reports whether this node lost a request at one of some upstreams.
func (t *Table) lostLocally(w work.ID, crashes []fleet.Incarnation) bool {
	return slices.ContainsFunc(crashes, func(id fleet.Incarnation) bool {
		u, ok := t.upstreams.Peek(id)
		return ok && u.lost[w]
	})
}

// crashes returns the sorted upstreams at which a request was lost and that have crashed or are
// unresponsive: all of them, or those whose crash no other request explains.
func (t *Table) crashes(w work.ID, all bool) []fleet.Incarnation {
	s, ok := t.suspects.Peek(w)
	if !ok {
		return nil
	}
	var crashes []fleet.Incarnation
	for id, l := range s.losses {
		if u, ok := t.upstreams.Peek(id); ok && u.state != Unknown && (all || !l.explained) {
			crashes = append(crashes, id)
		}
	}
	slices.SortFunc(crashes, fleet.Incarnation.Compare)
	return crashes
}

// attribute attributes an upstream's crash to a request, so that it does not count against
// others.
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

// confirm marks a quarantined request as confirmed once enough of its upstreams have crashed
// for certain.
func (t *Table) confirm(w work.ID) []Event {
	q, ok := t.quarantined.Peek(w)
	if !ok || q.confirmed {
		return nil
	}
	confirmed := 0
	for _, id := range q.crashed {
		if u, ok := t.upstreams.Peek(id); ok && u.state == Crashed {
			confirmed++
		}
	}
	if confirmed < crashThreshold {
		return nil
	}
	q.confirmed, q.crashed = true, nil
	return []Event{ConfirmedEvent{Work: w, Local: q.local}}
}

// release takes a request out of quarantine. The crashes that it explained stay explained for
// other requests, since those were not the only suspects.
func (t *Table) release(w work.ID, q *quarantineEntry) {
	t.quarantined.Remove(w)
	for _, id := range q.crashed {
		t.upstreams.Remove(id)
	}
}

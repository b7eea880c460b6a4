package quarantine

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// The thresholds are checked by cluster_test.go, which simulates nodes and upstreams with concurrent
// poison requests and with poison parts, beside crashes for other causes.
const (
	// crashThreshold is how many crashes quarantine a request if no other request explains
	// them, and of how many different requests with a part that has the strongest claim. The users
	// chose the value.
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
	// reviewTime is how long after its last loss a request or a part with enough crashes is evaluated
	// again at each review: an answer to what was lost with it may decide.
	reviewTime clock.Millis = 10_000
)

// evaluate quarantines a request or a part if enough upstreams have crashed under it and nothing
// else explains the crashes better.
func (t *Table) evaluate(now clock.Millis, id work.ID) []Event {
	s, ok := t.suspects.Peek(id)
	if !ok || len(s.losses) < crashThreshold {
		return nil
	}
	if id.IsPart() {
		return t.evaluatePart(now, id, s)
	}
	return t.evaluateRequest(now, id, s)
}

// evaluatePart quarantines a part if the claim against it is strong enough and stronger than that
// against anything else that was lost at one of the upstreams. A crash counts once other nodes have
// had the time to report what they lost there. A part is evaluated again at each review while it has
// enough crashes: answers may clear what has a stronger claim.
func (t *Table) evaluatePart(now clock.Millis, part work.ID, s *suspect) []Event {
	crashes := t.crashes(part, false)
	if len(crashes) < crashThreshold {
		return nil
	}
	t.reviewLater(now, part, s)
	c := t.claim(part, crashes)
	if !c.suffices(len(crashes)) {
		return t.reportShare(now, part, crashes)
	}
	crashes = slices.DeleteFunc(crashes, func(id fleet.Incarnation) bool { return !t.fullyReported(now, id) })
	if c = t.claim(part, crashes); !c.suffices(len(crashes)) {
		return nil
	}
	margin := claimMargin
	if len(crashes) >= partlyExplainedThreshold {
		margin = 0
	}
	if !t.strongestAt(part, c, crashes, margin) {
		return nil
	}
	return t.quarantine(now, part, crashes)
}

// reviewLater has a request or a part evaluated again at the next review, for some time.
func (t *Table) reviewLater(now clock.Millis, id work.ID, s *suspect) {
	if now <= s.lastLossAt.Add(reviewTime) {
		t.deferred[id] = true
	}
}

// fullyReported reports whether other nodes have had the time to report what they lost at an upstream
// that has crashed.
func (t *Table) fullyReported(now clock.Millis, id fleet.Incarnation) bool {
	u, ok := t.upstreams.Peek(id)
	return ok && now >= u.foundAt.Add(reportDelay)
}

func (t *Table) evaluateRequest(now clock.Millis, w work.ID, s *suspect) []Event {
	crashes := t.evidence(w)
	if len(crashes) == 0 {
		t.reviewLater(now, w, s)
		return nil
	}
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

// Review evaluates the requests and parts that were waiting for reports of other losses.
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
	case len(unexplained) > 0 && len(all) >= partlyExplainedThreshold && !t.partExplains(w, unexplained):
		return all
	}
	return nil
}

// partExplains reports whether a part of a prompt explains one of a request's crashes at least as
// well as the request: a part with which other requests were lost too.
func (t *Table) partExplains(w work.ID, crashes []fleet.Incarnation) bool {
	c := t.claim(w, crashes)
	return slices.ContainsFunc(crashes, func(id fleet.Incarnation) bool { return t.strongerPartAt(id, c) })
}

// strongerPartAt reports whether a part that was lost at an upstream has at least a claim, by as many
// different requests as it takes to quarantine the part.
func (t *Table) strongerPartAt(id fleet.Incarnation, c claim) bool {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return false
	}
	for id := range u.lostIDs() {
		if !id.IsPart() {
			continue
		}
		if other := t.partClaim(id); other.requests >= crashThreshold && other.nats >= c.nats {
			return true
		}
	}
	return false
}

// ambiguous reports whether each of a request's crashes may have been caused by something else that
// was lost at the same upstream: a request that has at least as many crashes in total, or a part
// with a claim that is as strong.
func (t *Table) ambiguous(w work.ID, crashes []fleet.Incarnation) bool {
	c := t.claim(w, crashes)
	return !slices.ContainsFunc(crashes, func(id fleet.Incarnation) bool {
		return !t.lostByOther(id, w, len(crashes)) && !t.strongerPartAt(id, c)
	})
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

// lostLocally reports whether this node lost a request, or one with a part, at one of some upstreams.
func (t *Table) lostLocally(w work.ID, crashes []fleet.Incarnation) bool {
	return slices.ContainsFunc(crashes, func(id fleet.Incarnation) bool {
		u, ok := t.upstreams.Peek(id)
		return ok && u.lostLocally(w)
	})
}

// lostLocally reports whether this node lost a request with an ID at the upstream.
func (u *upstream) lostLocally(id work.ID) bool {
	for _, lost := range u.lost {
		if lost.local && lost.request.Has(id) {
			return true
		}
	}
	return false
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

// attribute attributes an upstream's crash to a request or a part, so that it does not count against
// others. One that is attributed to a request still counts against parts: one of its own may be the
// reason, and the claim against any other allows for coincidence.
func (t *Table) attribute(id fleet.Incarnation, culprit work.ID) {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return
	}
	u.culprit = culprit
	for other := range u.lostIDs() {
		if u.explains(other) {
			t.changeLoss(other, id, func(l *loss) { l.explained = true })
		}
	}
}

// changeLoss changes the record of the loss of a request or a part at an upstream, if there is one.
func (t *Table) changeLoss(w work.ID, id fleet.Incarnation, change func(*loss)) {
	s, ok := t.suspects.Peek(w)
	if !ok {
		return
	}
	if l, ok := s.losses[id]; ok {
		change(&l)
		s.losses[id] = l
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

// dropCrash takes an upstream off the crashes for which an ID is quarantined, unless these are
// confirmed. It returns the entry, and whether too few crashes are left for it. Events hold the list
// of crashes, so it is copied.
func (t *Table) dropCrash(culprit work.ID, id fleet.Incarnation) (q *quarantineEntry, tooFew bool) {
	q, ok := t.quarantined.Peek(culprit)
	if !ok || q.confirmed {
		return nil, false
	}
	q.crashed = slices.DeleteFunc(slices.Clone(q.crashed), func(e fleet.Incarnation) bool { return e == id })
	return q, len(q.crashed) < crashThreshold
}

// lifted returns the event of an ID that leaves quarantine without an answer.
func (q *quarantineEntry) lifted(id work.ID) []Event {
	return []Event{ClearedEvent{Work: id, WasQuarantined: true, LostLocally: q.local}}
}

// release takes a request out of quarantine. The crashes that it explained stay explained for
// other requests, since those were not the only suspects.
func (t *Table) release(w work.ID, q *quarantineEntry) {
	t.quarantined.Remove(w)
	for _, id := range q.crashed {
		t.upstreams.Remove(id)
	}
}

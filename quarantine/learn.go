package quarantine

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// AdoptConfirmed adds a request or a part under which upstreams crashed for certain, and which other
// nodes quarantined age ago. They report unconfirmed crashes as losses instead. A part that this node
// has had an answer for since then is cleared at the other nodes instead.
func (t *Table) AdoptConfirmed(now clock.Millis, w work.ID, age clock.Millis) []Event {
	if q, ok := t.quarantined.Peek(w); ok {
		if q.confirmed {
			return nil
		}
		q.confirmed, q.crashed = true, nil
		return []Event{ConfirmedEvent{Work: w}}
	}
	if s, ok := t.suspects.Peek(w); age >= t.duration || ok && now <= s.answeredAt.Add(lateReportWindow) {
		return nil
	}
	if w.IsPart() && t.answers.lastAt(w) > now.Sub(age) {
		return []Event{ClearedEvent{Work: w, Local: true}}
	}
	if events, refused := t.contradict(w); refused {
		return events
	}
	t.suspects.Remove(w)
	t.quarantined.Add(w, &quarantineEntry{since: now.Sub(max(age, 0)), confirmed: true})
	return []Event{QuarantinedEvent{Work: w}}
}

// AdoptUnconfirmed handles a request that other nodes have quarantined for the crashes of some
// upstreams. It quarantines the request too if enough of them have crashed or are unresponsive
// in the local view. The other nodes have already considered what else was lost at the
// upstreams.
func (t *Table) AdoptUnconfirmed(now clock.Millis, w work.ID, crashed []fleet.Incarnation) []Event {
	crashes := slices.DeleteFunc(slices.Clone(crashed), func(id fleet.Incarnation) bool {
		u, ok := t.upstreams.Peek(id)
		return !ok || u.state == Unknown
	})
	if s, ok := t.suspects.Peek(w); t.quarantined.Contains(w) || !ok || len(s.losses) == 0 || len(crashes) < crashThreshold {
		return nil
	}
	if events, refused := t.contradict(w); refused {
		return events
	}
	return t.quarantine(now, w, crashes)
}

// Unresolved returns the upstreams in state Unknown at which a request, or one with the same part,
// was lost, if the other losses make that worth a check.
func (t *Table) Unresolved(r work.Request) []fleet.Incarnation {
	unresolved := make(map[fleet.Incarnation]bool)
	for _, trait := range r.AppendIDs(nil) {
		if !t.worthCheck(trait) {
			continue
		}
		s, _ := t.suspects.Peek(trait)
		for id := range s.losses {
			if u, ok := t.upstreams.Peek(id); ok && u.state == Unknown {
				unresolved[id] = true
			}
		}
	}
	return slices.SortedFunc(maps.Keys(unresolved), fleet.Incarnation.Compare)
}

// worthCheck reports whether it matters if the upstreams have crashed at which a request, or one with
// a part, was lost. A single loss is common when an upstream crashes, and can wait; so are losses with
// a part that many requests have.
func (t *Table) worthCheck(w work.ID) bool {
	s, ok := t.suspects.Peek(w)
	if !ok || len(s.losses) < 2 {
		return false
	}
	return !w.IsPart() || t.claim(w, slices.SortedFunc(maps.Keys(s.losses), fleet.Incarnation.Compare)).suspicious()
}

// Unconfirmed returns the upstreams for which a request is quarantined and that have not
// crashed for certain.
func (t *Table) Unconfirmed() []fleet.Incarnation {
	return slices.DeleteFunc(t.upstreams.Keys(), func(id fleet.Incarnation) bool {
		u, _ := t.upstreams.Peek(id)
		q, ok := t.quarantined.Peek(u.culprit)
		return !ok || q.confirmed || u.state == Crashed
	})
}

// UpstreamsToCheck returns the upstreams for which NeedsCheck is true.
func (t *Table) UpstreamsToCheck() []fleet.Incarnation {
	return slices.DeleteFunc(t.upstreams.Keys(), func(id fleet.Incarnation) bool { return !t.NeedsCheck(id) })
}

// NeedsCheck reports whether an upstream's state affects a decision and is uncertain: the
// upstream is unresponsive, or a request was lost there that was lost elsewhere too.
func (t *Table) NeedsCheck(id fleet.Incarnation) bool {
	u, ok := t.upstreams.Peek(id)
	switch {
	case !ok || u.state == Crashed:
		return false
	case u.state == Unresponsive:
		return true
	}
	for w := range u.lostIDs() {
		if t.worthCheck(w) {
			return true
		}
	}
	return false
}

// RevokeCrash changes a crashed upstream to unresponsive, because it may be running after all.
func (t *Table) RevokeCrash(id fleet.Incarnation) {
	if u, ok := t.upstreams.Peek(id); ok && u.state == Crashed {
		u.state = Unresponsive
	}
}

// HasUncertainLosses reports whether the table tracks an upstream that has not crashed for
// certain.
func (t *Table) HasUncertainLosses(id fleet.Incarnation) bool {
	u, ok := t.upstreams.Peek(id)
	return ok && u.state != Crashed
}

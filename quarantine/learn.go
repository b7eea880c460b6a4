package quarantine

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// AdoptConfirmed takes a work that others have quarantined for some time, since upstreams have ended
// under it for certain. What is less than certain is told as losses.
func (t *Table) AdoptConfirmed(now clock.Millis, w work.ID, age clock.Millis) []News {
	if h, ok := t.quarantined.Peek(w); ok {
		if h.confirmed {
			return nil
		}
		h.confirmed, h.crashed = true, nil
		return []News{ConfirmedNews{Work: w}}
	}
	if s, ok := t.suspects.Peek(w); age >= t.duration || ok && now <= s.answeredAt.Add(lateReportWindow) {
		return nil
	}
	t.suspects.Remove(w)
	t.quarantined.Add(w, &quarantineEntry{since: now.Sub(max(age, 0)), confirmed: true})
	return []News{QuarantinedNews{Work: w}}
}

// AdoptUnconfirmed takes the upstreams for which others have quarantined a work, and quarantines it too
// if this node believes of enough of them that they have ended. What else was lost there the
// others have weighed.
func (t *Table) AdoptUnconfirmed(now clock.Millis, w work.ID, ended []fleet.Incarnation) []News {
	ends := slices.DeleteFunc(slices.Clone(ended), func(id fleet.Incarnation) bool {
		u, ok := t.upstreams.Peek(id)
		return !ok || u.state == Unknown
	})
	if s, ok := t.suspects.Peek(w); t.quarantined.Contains(w) || !ok || len(s.losses) == 0 || len(ends) < crashThreshold {
		return nil
	}
	return t.quarantine(now, w, ends)
}

// Unresolved returns the upstreams where a work was lost and of which it is not known whether
// they have ended, if it was lost before. A single loss is what many works have when an
// upstream ends, and can wait.
func (t *Table) Unresolved(w work.ID) []fleet.Incarnation {
	s, ok := t.suspects.Peek(w)
	if !ok || len(s.losses) < 2 {
		return nil
	}
	var pending []fleet.Incarnation
	for id := range s.losses {
		if u, ok := t.upstreams.Peek(id); ok && u.state == Unknown {
			pending = append(pending, id)
		}
	}
	slices.SortFunc(pending, fleet.Incarnation.Compare)
	return pending
}

// Unconfirmed returns the upstreams that are thought, and not certain, to have ended under works
// in quarantine.
func (t *Table) Unconfirmed() []fleet.Incarnation {
	return slices.DeleteFunc(t.upstreams.Keys(), func(id fleet.Incarnation) bool {
		u, _ := t.upstreams.Peek(id)
		h, ok := t.quarantined.Peek(u.culprit)
		return !ok || h.confirmed || u.state == Ended
	})
}

// UpstreamsToCheck returns the upstreams of which it matters whether they have ended, and is not
// certain.
func (t *Table) UpstreamsToCheck() []fleet.Incarnation {
	return slices.DeleteFunc(t.upstreams.Keys(), func(id fleet.Incarnation) bool { return !t.NeedsCheck(id) })
}

// NeedsCheck tells whether it matters that an upstream has ended, and is not certain: it is
// thought to have, or a work was lost there that was lost elsewhere too.
func (t *Table) NeedsCheck(id fleet.Incarnation) bool {
	u, ok := t.upstreams.Peek(id)
	switch {
	case !ok || u.state == Ended:
		return false
	case u.state == Unresponsive:
		return true
	}
	for w := range u.lost {
		if s, ok := t.suspects.Peek(w); ok && len(s.losses) > 1 {
			return true
		}
	}
	return false
}

// RevokeCrash takes back that an upstream has ended for certain: it may live.
func (t *Table) RevokeCrash(id fleet.Incarnation) {
	if u, ok := t.upstreams.Peek(id); ok && u.state == Ended {
		u.state = Unresponsive
	}
}

// HasUncertainLosses tells whether anything hangs on an upstream of which it is not certain whether it
// has ended.
func (t *Table) HasUncertainLosses(id fleet.Incarnation) bool {
	u, ok := t.upstreams.Peek(id)
	return ok && u.state != Ended
}

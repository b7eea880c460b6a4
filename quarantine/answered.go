package quarantine

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// UpstreamAnswered records that an upstream answers and so has not crashed under the requests
// that were lost there.
func (t *Table) UpstreamAnswered(id fleet.Incarnation) []Event {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return nil
	}
	for w := range u.lost {
		t.removeRequest(w, id)
	}
	t.upstreams.Remove(id)
	q, tooFew := t.dropCrash(u.culprit, id)
	if !tooFew {
		return nil
	}
	t.release(u.culprit, q)
	return q.lifted(u.culprit)
}

// Answered records that an upstream has begun to answer a request through this node.
func (t *Table) Answered(now clock.Millis, r work.Request) []Event {
	t.answers.record(now, r)
	if t.suspects.Len() == 0 && t.quarantined.Len() == 0 {
		return nil
	}
	var events []Event
	for _, id := range r.AppendIDs(nil) {
		events = append(events, t.RequestAnswered(now, id, true)...)
	}
	return events
}

// RequestAnswered records that an upstream has answered a request, or one with a part. local is set
// if the response came through this node.
func (t *Table) RequestAnswered(now clock.Millis, w work.ID, local bool) []Event {
	q, wasQuarantined := t.quarantined.Peek(w)
	suspected := t.IsSuspect(w)
	if s, ok := t.suspects.Peek(w); ok {
		suspected, s.contested = suspected || s.contested && local, false
		for id := range s.losses {
			t.removeLoss(w, id)
		}
	}
	if !wasQuarantined && !suspected {
		if !local && w.IsPart() {
			// The losses from before the answer may be reported later.
			t.suspect(w).answeredAt = now
		}
		return nil
	}
	if wasQuarantined {
		t.release(w, q)
	}
	t.suspect(w).answeredAt = now
	return []Event{ClearedEvent{Work: w, Local: local, WasQuarantined: wasQuarantined}}
}

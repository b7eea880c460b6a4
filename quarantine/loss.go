package quarantine

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// lateReportWindow is how long after a response other nodes may still report losses from
	// before it.
	lateReportWindow clock.Millis = 3000
	// maxLosses bounds the losses that are stored for one request.
	maxLosses = 10
)

// RecordLoss records that an attempt at an upstream failed without a response, together with
// the upstream's state. local is set if this node made the attempt; the loss is reported to
// other nodes once the upstream turns out to have crashed. A crash counts against the request
// only if it is detected within the given time.
func (t *Table) RecordLoss(now clock.Millis, w work.ID, id fleet.Incarnation, state UpstreamState, within clock.Millis, local bool) []Event {
	u := t.upstream(id)
	// Other requests that were lost at the upstream may be waiting for its state.
	events := t.SetUpstreamState(now, id, state)
	if t.quarantined.Contains(w) {
		return events
	}
	s := t.suspect(w)
	_, known := s.losses[id]
	if known || now <= s.answeredAt.Add(lateReportWindow) || len(s.losses) >= maxLosses {
		return events
	}
	s.losses[id] = loss{countsUntil: now.Add(within), explained: !u.culprit.IsZero()}
	s.lastLossAt = now
	u.lost[w] = local
	if u.state == Unknown {
		return events
	}
	return append(events, t.evaluateLoss(now, id, u, w)...)
}

// SetUpstreamState records that an upstream is unresponsive or has crashed.
func (t *Table) SetUpstreamState(now clock.Millis, id fleet.Incarnation, state UpstreamState) []Event {
	u, ok := t.upstreams.Peek(id)
	if !ok || u.state >= state {
		return nil
	}
	first := u.state == Unknown
	u.state = state
	if !first {
		return t.confirm(u.culprit)
	}
	var events []Event
	for _, w := range sortedIDs(u.lost) {
		events = append(events, t.evaluateLoss(now, id, u, w)...)
	}
	return events
}

// evaluateLoss evaluates the loss of a request at an upstream that has crashed or is
// unresponsive.
func (t *Table) evaluateLoss(now clock.Millis, id fleet.Incarnation, u *upstream, w work.ID) []Event {
	if s, ok := t.suspects.Peek(w); !ok || now > s.losses[id].countsUntil {
		t.removeLoss(w, id)
		return nil
	}
	var events []Event
	if u.lost[w] {
		events = append(events, LossEvent{Work: w, Upstream: id})
	}
	return append(events, t.evaluate(now, w)...)
}

// UpstreamAnswered records that an upstream answers and so has not crashed under the requests
// that were lost there.
func (t *Table) UpstreamAnswered(id fleet.Incarnation) []Event {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return nil
	}
	t.upstreams.Remove(id)
	for w := range u.lost {
		t.removeLoss(w, id)
	}
	q, ok := t.quarantined.Peek(u.culprit)
	if !ok || q.confirmed {
		return nil
	}
	q.crashed = slices.DeleteFunc(q.crashed, func(e fleet.Incarnation) bool { return e == id })
	if len(q.crashed) >= crashThreshold {
		return nil
	}
	t.release(u.culprit, q)
	return []Event{ClearedEvent{Work: u.culprit, WasQuarantined: true, LostLocally: q.local}}
}

// RequestAnswered records that an upstream has answered a request. local is set if the response
// came through this node.
func (t *Table) RequestAnswered(now clock.Millis, w work.ID, local bool) []Event {
	q, wasQuarantined := t.quarantined.Peek(w)
	suspected := t.IsSuspect(w)
	if s, ok := t.suspects.Peek(w); ok {
		for id := range s.losses {
			t.removeLoss(w, id)
		}
	}
	if !wasQuarantined && !suspected {
		return nil
	}
	if wasQuarantined {
		t.release(w, q)
	}
	t.suspect(w).answeredAt = now
	return []Event{ClearedEvent{Work: w, Local: local, WasQuarantined: wasQuarantined}}
}

// Expire removes losses at upstreams that were not found to have crashed in time.
func (t *Table) Expire(now clock.Millis) {
	for _, id := range t.upstreams.Keys() {
		u, _ := t.upstreams.Peek(id)
		if u.state != Unknown {
			continue
		}
		for w := range u.lost {
			if s, ok := t.suspects.Peek(w); !ok || now > s.losses[id].countsUntil {
				t.removeLoss(w, id)
			}
		}
		if len(u.lost) == 0 {
			t.upstreams.Remove(id)
		}
	}
}

// removeLoss removes the loss of a request at an upstream.
func (t *Table) removeLoss(w work.ID, id fleet.Incarnation) {
	if s, ok := t.suspects.Peek(w); ok {
		delete(s.losses, id)
	}
	if u, ok := t.upstreams.Peek(id); ok {
		delete(u.lost, w)
	}
}

// sortedIDs returns the IDs in order, so that equal input gives equal events.
func sortedIDs(ids map[work.ID]bool) []work.ID {
	return slices.SortedFunc(maps.Keys(ids), work.ID.Compare)
}

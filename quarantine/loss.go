package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// lateReportWindow is how long after a response other nodes may still report losses of the
	// request from before it.
	lateReportWindow clock.Millis = 3000
	// maxLosses bounds the losses that are stored for one request or part.
	maxLosses = 10
	// maxRefutedShare bounds the share of answered requests that have a part for which this node
	// refutes losses that others report. The next answer clears a part that more requests have, at
	// whichever node.
	maxRefutedShare = 0.1
)

// Loss is an attempt that failed without a response.
type Loss struct {
	Request  work.Request
	Upstream fleet.Incarnation
	// State is the state of the upstream as this node knows it.
	State UpstreamState
	// Age is the time since the attempt failed.
	Age clock.Millis
	// Within is the time within which a crash of the upstream must be detected to count.
	Within clock.Millis
	// Local is set if this node made the attempt; the loss is reported to other nodes once the
	// upstream turns out to have crashed.
	Local bool
}

// key returns the ID under which the loss is stored at its upstream.
func (l Loss) key() work.ID {
	if l.Request.Content.IsZero() && len(l.Request.Parts) > 0 {
		return l.Request.Parts[0]
	}
	return l.Request.Content
}

// RecordLoss records that an attempt at an upstream failed without a response. A loss of what is in
// quarantine explains a crash of the upstream, and is no evidence against anything else.
func (t *Table) RecordLoss(now clock.Millis, l Loss) []Event {
	u := t.upstream(l.Upstream)
	// Other requests that were lost at the upstream may be waiting for its state.
	events := t.SetUpstreamState(now, l.Upstream, l.State)
	if culprit, _, ok := t.QuarantinedBy(now, l.Request); ok {
		t.attribute(l.Upstream, culprit)
		return events
	}
	recorded := false
	for _, id := range l.Request.AppendIDs(nil) {
		if refuted := t.refuteLoss(now, l, id); refuted != nil {
			events = append(events, refuted...)
			continue
		}
		recorded = t.recordLossOf(now, l, id, u) || recorded
	}
	if !recorded {
		return events
	}
	u.lost[l.key()] = lostRequest{request: l.Request, lostAt: now.Sub(l.Age), local: l.Local}
	if u.state == Unknown {
		return events
	}
	return append(events, t.evaluateLosses(now, l.Upstream, u, []work.ID{l.key()})...)
}

// recordLossOf adds a loss to the record of the request or of one of its parts, unless it has been
// answered since, and reports whether it did.
func (t *Table) recordLossOf(now clock.Millis, l Loss, id work.ID, u *upstream) bool {
	s := t.suspect(id)
	_, known := s.losses[l.Upstream]
	if known || t.answeredSince(now, l, id, s) {
		return false
	}
	if len(s.losses) >= maxLosses {
		delete(s.losses, s.leastLoss())
	}
	s.losses[l.Upstream] = loss{recordedAt: now, countsUntil: now.Add(l.Within), explained: u.explains(id)}
	s.lastLossAt = now
	return true
}

// explains reports whether something else explains the upstream's crash, so that it does not count
// against an ID.
func (u *upstream) explains(id work.ID) bool {
	return !u.culprit.IsZero() && (u.culprit.IsPart() || !id.IsPart())
}

// leastLoss returns the upstream of the loss that matters least: an explained one, and of these or else
// of all the one that was recorded first.
func (s *suspect) leastLoss() fleet.Incarnation {
	upstreams := slices.SortedFunc(maps.Keys(s.losses), fleet.Incarnation.Compare)
	return slices.MinFunc(upstreams, func(a, b fleet.Incarnation) int {
		x, y := s.losses[a], s.losses[b]
		if x.explained != y.explained {
			if x.explained {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.recordedAt, y.recordedAt)
	})
}

// answeredSince reports whether the request, or another one with the same part, was answered after a
// loss, as far as this node knows.
func (t *Table) answeredSince(now clock.Millis, l Loss, id work.ID, s *suspect) bool {
	if id.IsPart() {
		return now.Sub(l.Age) <= max(s.answeredAt, t.answers.lastAt(id))
	}
	return now <= s.answeredAt.Add(lateReportWindow)
}

// refuteLoss returns the events that tell other nodes of an answer to a request with a part which
// came later than a loss that they reported; nil if there was none.
func (t *Table) refuteLoss(now clock.Millis, l Loss, id work.ID) []Event {
	if l.Local || !id.IsPart() || t.answers.lastAt(id) < now.Sub(l.Age) || t.share(id) > maxRefutedShare {
		return nil
	}
	return []Event{ClearedEvent{Work: id, Local: true}}
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
	u.foundAt = now
	return t.evaluateLosses(now, id, u, sortedIDs(u.lost))
}

// evaluateLosses evaluates the losses of some requests at an upstream that has crashed or is
// unresponsive: it reports those of this node, and evaluates each request and each part once.
func (t *Table) evaluateLosses(now clock.Millis, id fleet.Incarnation, u *upstream, requests []work.ID) []Event {
	var events []Event
	var traits []work.ID
	evaluated := make(map[work.ID]bool)
	for _, w := range requests {
		lost := u.lost[w]
		if t.expired(now, id, lost) {
			t.removeRequest(w, id)
			continue
		}
		if lost.local {
			events = append(events, LossEvent{Request: lost.request, Upstream: id, Age: now.Sub(lost.lostAt)})
		}
		traits = lost.request.AppendIDs(traits)
	}
	for _, trait := range traits {
		if !evaluated[trait] {
			evaluated[trait] = true
			events = append(events, t.evaluate(now, trait)...)
		}
	}
	return events
}

// expired reports whether a crash of an upstream no longer counts against a request or any of its
// parts.
func (t *Table) expired(now clock.Millis, id fleet.Incarnation, lost lostRequest) bool {
	for _, trait := range lost.request.AppendIDs(nil) {
		s, ok := t.suspects.Peek(trait)
		if !ok {
			continue
		}
		if l, ok := s.losses[id]; ok && now <= l.countsUntil {
			return false
		}
	}
	return true
}

// Expire removes losses at upstreams that were not found to have crashed in time.
func (t *Table) Expire(now clock.Millis) {
	for _, id := range t.upstreams.Keys() {
		u, _ := t.upstreams.Peek(id)
		if u.state != Unknown {
			continue
		}
		for w, lost := range u.lost {
			if t.expired(now, id, lost) {
				t.removeRequest(w, id)
			}
		}
		if len(u.lost) == 0 {
			t.upstreams.Remove(id)
		}
	}
}

// removeLoss removes the loss of a request, or of all requests with a part, at an upstream.
func (t *Table) removeLoss(w work.ID, id fleet.Incarnation) {
	if s, ok := t.suspects.Peek(w); ok {
		delete(s.losses, id)
	}
	if u, ok := t.upstreams.Peek(id); ok && !w.IsPart() {
		delete(u.lost, w)
	}
}

// removeRequest removes the loss of a request at an upstream, and those of its parts that no other
// request there has.
func (t *Table) removeRequest(w work.ID, id fleet.Incarnation) {
	u, ok := t.upstreams.Peek(id)
	if !ok {
		return
	}
	parts := u.lost[w].request.Parts
	t.removeLoss(w, id)
	delete(u.lost, w)
	for _, part := range parts {
		if !u.hasLost(part) {
			t.removeLoss(part, id)
		}
	}
}

// lostIDs returns the IDs of all requests that were lost at the upstream, each once.
func (u *upstream) lostIDs() map[work.ID]bool {
	ids := make(map[work.ID]bool)
	for _, lost := range u.lost {
		for _, id := range lost.request.AppendIDs(nil) {
			ids[id] = true
		}
	}
	return ids
}

// hasLost reports whether a request with an ID was lost at the upstream.
func (u *upstream) hasLost(id work.ID) bool {
	for _, lost := range u.lost {
		if lost.request.Has(id) {
			return true
		}
	}
	return false
}

// sortedIDs returns the IDs in order, so that equal input gives equal events.
func sortedIDs[V any](ids map[work.ID]V) []work.ID {
	return slices.SortedFunc(maps.Keys(ids), work.ID.Compare)
}

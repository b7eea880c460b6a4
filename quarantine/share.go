package quarantine

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// shareReportPause is the pause between two reports of the share of requests that have a part.
const shareReportPause clock.Millis = 5000

// reportShare returns the event that tells other nodes how many requests have a part, if a node that has
// not had any of them answered would quarantine the part.
func (t *Table) reportShare(now clock.Millis, part work.ID, crashes []fleet.Incarnation) []Event {
	observed := t.answers.of(part)
	s, ok := t.suspects.Peek(part)
	if !ok || observed.Answers == 0 || now < s.shareReportedAt.Add(shareReportPause) {
		return nil
	}
	uninformed := t.claimAt(part, crashes, Share{Requests: observed.Requests}.estimate())
	if uninformed.known = false; !uninformed.suffices(len(crashes)) {
		return nil
	}
	s.shareReportedAt = now
	return []Event{ShareEvent{Part: part, Share: observed}}
}

// RecordShare records the share of requests with a part that another node has observed. The part leaves
// quarantine if its crashes are not confirmed and are no longer enough evidence.
func (t *Table) RecordShare(now clock.Millis, part work.ID, observed Share) []Event {
	s := t.suspect(part)
	s.peerShare, s.shareReportedAt = max(s.peerShare, observed.estimate()), now
	q, ok := t.quarantined.Peek(part)
	if !ok || q.confirmed || t.claim(part, q.crashed).suffices(len(q.crashed)) {
		return nil
	}
	t.release(part, q)
	return q.lifted(part)
}

// contradict refuses the quarantine of a part by other nodes if this node has had requests with it
// answered and has too little evidence against it. It then reports their share, and clears the part at
// the other nodes with the next answer.
func (t *Table) contradict(part work.ID) (events []Event, refused bool) {
	observed := t.answers.of(part)
	if !part.IsPart() || observed.Answers == 0 {
		return nil, false
	}
	crashes := t.crashes(part, true)
	if t.claim(part, crashes).suffices(len(crashes)) {
		return nil, false
	}
	t.suspect(part).contested = true
	return []Event{ShareEvent{Part: part, Share: observed}}, true
}

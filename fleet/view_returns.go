package fleet

import (
	"maps"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
)

// RestoreGrace is how long after the store's return from a copy an entry may stand in the list that
// is only the copy's: it is dropped after three heartbeats without a word of its upstream, and
// these are some more.
const RestoreGrace clock.Millis = 5000

// Returned notes that the store has come back from a copy. It may show entries again that
// have gone since the copy was made.
func (v *View) Returned(now clock.Millis) { v.restoredAt = now }

// holdBackStale tells whether an entry of a whole list may be the copy's alone: its upstream was
// known to be gone, and has not written since the store's return. It is then held back until
// it is written, or stands there for longer than the copy's would.
func (v *View) holdBackStale(now clock.Millis, c Change) bool {
	gone, ok := v.removedAt[c.ID]
	if !ok || c.Gone || c.Unreadable || v.restoredAt == clock.Never {
		return false
	}
	if now >= v.restoredAt.Add(RestoreGrace) || gone.Add(moment.MaxBackupAge) < v.restoredAt {
		return false
	}
	v.staleSuspects[c.ID] = c.Upstream
	return true
}

// recordRemoval notes that an upstream is taken as gone.
func (v *View) recordRemoval(now clock.Millis, id Incarnation) {
	v.removedAt[id] = now
	delete(v.staleSuspects, id)
	if now < v.prunedAt.Add(RestoreGrace) {
		// Thousands may go at once.
		return
	}
	v.prunedAt = now
	maps.DeleteFunc(v.removedAt, func(_ Incarnation, at clock.Millis) bool { return now >= at.Add(moment.MaxBackupAge+RestoreGrace) })
}

// releaseStaleSuspects lists the entries that have stood for longer than a copy's would.
func (v *View) releaseStaleSuspects(now clock.Millis) []Change {
	if len(v.staleSuspects) == 0 || now < v.restoredAt.Add(RestoreGrace) {
		return nil
	}
	var changes []Change
	for id, u := range v.staleSuspects {
		changes = append(changes, Change{ID: id, Upstream: u})
	}
	clear(v.staleSuspects)
	return v.Apply(now, changes, false)
}

// RemovedCount returns how many upstreams are remembered as gone.
func (v *View) RemovedCount() int { return len(v.removedAt) }

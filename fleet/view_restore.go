package fleet

import (
	"maps"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
)

// RestoreGrace is how long after a store restore an entry may stay listed only because the
// backup contained it. The store deletes an entry after three missed heartbeats of its
// upstream; this is somewhat longer.
const RestoreGrace clock.Millis = 5000

// MarkRestored records that the store was restored from a backup. The store may list entries
// again that were removed after the backup was made.
func (v *View) MarkRestored(now clock.Millis) { v.restoredAt = now }

// holdBackStale reports whether an entry of a complete list may exist only because the backup
// contained it: its upstream was removed, and has not written the entry since the restore. The
// entry is then held back until its upstream writes it or it stays listed for longer than an
// entry of the backup would.
func (v *View) holdBackStale(now clock.Millis, c Change) bool {
	removedAt, removed := v.removedAt[c.ID]
	if !removed || c.Gone || c.Unreadable || v.restoredAt == clock.Never {
		return false
	}
	if now >= v.restoredAt.Add(RestoreGrace) || removedAt.Add(moment.MaxBackupAge) < v.restoredAt {
		return false
	}
	v.staleSuspects[c.ID] = c.Upstream
	return true
}

// recordRemoval records the removal of an upstream.
func (v *View) recordRemoval(now clock.Millis, id Incarnation) {
	v.removedAt[id] = now
	delete(v.staleSuspects, id)
	if now < v.prunedAt.Add(RestoreGrace) {
		// Thousands of upstreams may be removed at once; pruning at each removal would cost too
		// much.
		return
	}
	v.prunedAt = now
	maps.DeleteFunc(v.removedAt, func(_ Incarnation, at clock.Millis) bool { return now >= at.Add(moment.MaxBackupAge+RestoreGrace) })
}

// releaseStaleSuspects adds the held-back entries that stayed listed for longer than entries of
// the backup would.
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

// RemovedCount returns how many removed upstreams are remembered.
func (v *View) RemovedCount() int { return len(v.removedAt) }

package fleet

import (
	"maps"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
)

// CopyGrace is how long after the store's return from a copy an entry may stand in the list that
// is only the copy's: it is dropped after three heartbeats without a word of its upstream, and
// these are some more.
const CopyGrace clock.Millis = 5000

// Returned notes that the store has come back from a copy. It may show entries again that
// have gone since the copy was made.
func (v *View) Returned(now clock.Millis) { v.returned = now }

// copied tells whether an entry of a whole list may be the copy's alone: its upstream was
// known to be gone, and has not written since the store's return. It is then held back until
// it is written, or stands there for longer than the copy's would.
func (v *View) copied(now clock.Millis, c Change) bool {
	gone, ok := v.gone[c.ID]
	if !ok || c.Gone || c.Unreadable || v.returned == clock.Never {
		return false
	}
	if now >= v.returned.Add(CopyGrace) || gone.Add(moment.MaxBackupAge) < v.returned {
		return false
	}
	v.heldBack[c.ID] = c.Upstream
	return true
}

// noteGone notes that an upstream is taken as gone.
func (v *View) noteGone(now clock.Millis, id Incarnation) {
	v.gone[id] = now
	delete(v.heldBack, id)
	if now < v.forgot.Add(CopyGrace) {
		// Thousands may go at once.
		return
	}
	v.forgot = now
	maps.DeleteFunc(v.gone, func(_ Incarnation, at clock.Millis) bool { return now >= at.Add(moment.MaxBackupAge+CopyGrace) })
}

// listHeldBack lists the entries that have stood for longer than a copy's would.
func (v *View) listHeldBack(now clock.Millis) []Change {
	if len(v.heldBack) == 0 || now < v.returned.Add(CopyGrace) {
		return nil
	}
	var changes []Change
	for id, u := range v.heldBack {
		changes = append(changes, Change{ID: id, Upstream: u})
	}
	clear(v.heldBack)
	return v.Apply(now, changes, false)
}

// Remembered returns how many upstreams are remembered as gone.
func (v *View) Remembered() int { return len(v.gone) }

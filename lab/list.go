package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// list is the list of engines that nodes follow, late.
type list struct {
	world   *world
	entries map[fleet.Incarnation]fleet.Upstream
	order   []fleet.Incarnation
	// away tells that it stands still.
	away bool
	// changes are all that there were, and when.
	changes []listed
}

// listed is a change of the list.
type listed struct {
	at     clock.Millis
	change fleet.Change
}

// listEvery is how often a node looks for changes: they come in batches.
const listEvery clock.Millis = 250

// publish has an engine write its entry.
func (l *list) publish(e *engine) {
	if !e.up {
		return
	}
	if _, known := l.entries[e.id]; !known {
		l.order = append(l.order, e.id)
	}
	l.entries[e.id] = e.entry()
	l.change(fleet.Change{ID: e.id, Upstream: e.entry()})
}

// lapse has the entry of an engine that has ended go after a time.
func (l *list) lapse(e *engine) {
	l.world.after(l.world.scenario.LapseMS, func() {
		delete(l.entries, e.id)
		l.change(fleet.Change{ID: e.id, Gone: true})
	})
}

func (l *list) change(c fleet.Change) {
	l.changes = append(l.changes, listed{at: l.world.now, change: c})
}

// since returns the changes after a number of them that a node with some lag sees now, and how
// many there were then.
func (l *list) since(seen int, lag clock.Millis) ([]fleet.Change, int) {
	var changes []fleet.Change
	for !l.away && seen < len(l.changes) && l.changes[seen].at.Add(lag) <= l.world.now {
		changes = append(changes, l.changes[seen].change)
		seen++
	}
	return changes, seen
}

// all is the whole list, for a node that starts.
func (l *list) all() []fleet.Change {
	var changes []fleet.Change
	for _, id := range l.order {
		if u, there := l.entries[id]; there {
			changes = append(changes, fleet.Change{ID: id, Upstream: u})
		}
	}
	return changes
}

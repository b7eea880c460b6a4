package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// engineList is the list of engines that nodes follow, late.
type engineList struct {
	world   *world
	entries map[fleet.Incarnation]fleet.Upstream
	order   []fleet.Incarnation
	// frozen tells that it stands still.
	frozen bool
	// changes are all that there were, and when.
	changes []timedChange
}

// timedChange is a change of the list.
type timedChange struct {
	at     clock.Millis
	change fleet.Change
}

// listPollInterval is how often a node looks for changes: they come in batches.
const listPollInterval clock.Millis = 250

// publish has an engine write its entry.
func (l *engineList) publish(e *engine) {
	if !e.running {
		return
	}
	if _, known := l.entries[e.id]; !known {
		l.order = append(l.order, e.id)
	}
	l.entries[e.id] = e.listEntry()
	l.addChange(fleet.Change{ID: e.id, Upstream: e.listEntry()})
}

// scheduleRemoval has the entry of an engine that has ended go after a time.
func (l *engineList) scheduleRemoval(e *engine) {
	l.world.after(l.world.scenario.RemovalDelayMS, func() {
		delete(l.entries, e.id)
		l.addChange(fleet.Change{ID: e.id, Gone: true})
	})
}

func (l *engineList) addChange(c fleet.Change) {
	l.changes = append(l.changes, timedChange{at: l.world.now, change: c})
}

// visibleSince returns the changes after a number of them that a node with some lag sees now, and how
// many there were then.
func (l *engineList) visibleSince(seen int, lag clock.Millis) ([]fleet.Change, int) {
	var changes []fleet.Change
	for !l.frozen && seen < len(l.changes) && l.changes[seen].at.Add(lag) <= l.world.now {
		changes = append(changes, l.changes[seen].change)
		seen++
	}
	return changes, seen
}

// snapshot is the whole list, for a node that starts.
func (l *engineList) snapshot() []fleet.Change {
	var changes []fleet.Change
	for _, id := range l.order {
		if u, there := l.entries[id]; there {
			changes = append(changes, fleet.Change{ID: id, Upstream: u})
		}
	}
	return changes
}

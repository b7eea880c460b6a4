package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// engineList is the list of engines, which nodes read with a delay.
type engineList struct {
	world   *world
	entries map[fleet.Incarnation]fleet.Upstream
	order   []fleet.Incarnation
	// frozen stops the delivery of changes to nodes.
	frozen bool
	// changes are all changes since the start of the run.
	changes []timedChange
}

// timedChange is a change of the list with its time.
type timedChange struct {
	at     clock.Millis
	change fleet.Change
}

// listPollInterval is how often a node polls for changes, which makes them arrive in batches.
const listPollInterval clock.Millis = 250

// publish writes the current entry of an engine.
func (l *engineList) publish(e *engine) {
	if !e.running {
		return
	}
	if _, exists := l.entries[e.id]; !exists {
		l.order = append(l.order, e.id)
	}
	l.entries[e.id] = e.listEntry()
	l.addChange(fleet.Change{ID: e.id, Upstream: e.listEntry()})
}

// scheduleRemoval removes the entry of a crashed engine after RemovalDelayMS.
func (l *engineList) scheduleRemoval(e *engine) {
	l.world.after(l.world.scenario.RemovalDelayMS, func() {
		delete(l.entries, e.id)
		l.addChange(fleet.Change{ID: e.id, Gone: true})
	})
}

func (l *engineList) addChange(c fleet.Change) {
	l.changes = append(l.changes, timedChange{at: l.world.now, change: c})
}

// visibleSince returns the changes after the first seen ones that are visible with a delay of
// lag, and the total number of changes seen by then.
func (l *engineList) visibleSince(seen int, lag clock.Millis) ([]fleet.Change, int) {
	var changes []fleet.Change
	for !l.frozen && seen < len(l.changes) && l.changes[seen].at.Add(lag) <= l.world.now {
		changes = append(changes, l.changes[seen].change)
		seen++
	}
	return changes, seen
}

// snapshot returns all current entries, for a node that starts.
func (l *engineList) snapshot() []fleet.Change {
	var changes []fleet.Change
	for _, id := range l.order {
		if u, exists := l.entries[id]; exists {
			changes = append(changes, fleet.Change{ID: id, Upstream: u})
		}
	}
	return changes
}

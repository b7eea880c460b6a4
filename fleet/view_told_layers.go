package fleet

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// LayersShownWithin is how long the list may take to show the layers that an engine holds: the delay of
	// the list plus a heartbeat.
	LayersShownWithin clock.Millis = 3000
	// OrderShownWithin is how long an accepted order may take to appear in the list: loading a quarter of the
	// layers while other engines load too, plus the delay of the list.
	OrderShownWithin clock.Millis = 9000
	// messageDelay bounds how much later than the view the other parts of the node handle a message.
	messageDelay clock.Millis = 500
)

// ToldLayers are the layers of an engine according to a message: ordered, or held if Completed is set.
type ToldLayers struct {
	Layers    LayerRange
	Completed bool
}

// shownWithin returns how long the list may take to show the layers.
func (t ToldLayers) shownWithin() clock.Millis {
	if t.Completed {
		return LayersShownWithin
	}
	return OrderShownWithin
}

// awaitedLayers are layers that the list is expected to show by a time.
type awaitedLayers struct {
	told ToldLayers
	by   clock.Millis
}

// AwaitLayers records a message about the layers of an engine. A repetition of the last message has no
// effect.
func (v *View) AwaitLayers(now clock.Millis, id Incarnation, told ToldLayers) {
	if !v.Contains(id) || v.awaited[id].told == told && v.awaited[id].by > 0 {
		return
	}
	v.awaited[id] = awaitedLayers{told: told, by: now.Add(told.shownWithin() + messageDelay)}
}

// LayersNotShown returns the entries of engines that do not show in time the layers that a message told, so
// that the entries apply again. The list was confirmed at the given time.
func (v *View) LayersNotShown(confirmedAt clock.Millis) []Change {
	var changes []Change
	for id, a := range v.awaited {
		if confirmedAt < a.by {
			continue
		}
		delete(v.awaited, id)
		if u, ok := v.Get(id); ok && u.Held != a.told.Layers {
			changes = append(changes, Change{ID: id, Upstream: u})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return changes
}

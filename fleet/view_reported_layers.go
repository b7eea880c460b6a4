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

// ReportedLayers are the layers of an engine according to a message of a node: ordered, or held if Completed
// is set.
type ReportedLayers struct {
	Layers    LayerRange
	Completed bool
}

// shownWithin returns how long the list may take to show the layers.
func (r ReportedLayers) shownWithin() clock.Millis {
	if r.Completed {
		return LayersShownWithin
	}
	return OrderShownWithin
}

// awaitedLayers are layers that the list is expected to show by a time.
type awaitedLayers struct {
	reported ReportedLayers
	by       clock.Millis
}

// AwaitLayers records a message about the layers of an engine, and reports whether the engine's service allows
// them. A repetition of the last message has no effect, nor has a message about layers that do not fit.
func (v *View) AwaitLayers(now clock.Millis, id Incarnation, reported ReportedLayers) bool {
	known := v.upstreams[id]
	if known == nil {
		return true
	}
	u := *known
	u.Held = reported.Layers
	if err := v.check(Change{ID: id, Upstream: u}); err != nil {
		v.misfits.record(u, err)
		return false
	}
	if last, awaited := v.awaited[id]; !awaited || last.reported != reported {
		v.awaited[id] = awaitedLayers{reported: reported, by: now.Add(reported.shownWithin() + messageDelay)}
	}
	return true
}

// LayersNotShown returns the entries of engines that do not show in time the layers that a message reported,
// so that the entries apply again. The list was confirmed at the given time.
func (v *View) LayersNotShown(confirmedAt clock.Millis) []Change {
	var changes []Change
	for id, a := range v.awaited {
		if confirmedAt < a.by {
			continue
		}
		delete(v.awaited, id)
		if u, ok := v.Get(id); ok && u.Held != a.reported.Layers {
			changes = append(changes, Change{ID: id, Upstream: u})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.ID.Compare(b.ID) })
	return changes
}

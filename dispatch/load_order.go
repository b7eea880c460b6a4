package dispatch

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// loadOrder is an order to an engine to hold layers, which it is expected to have loaded at
// doneAt.
type loadOrder struct {
	layers fleet.LayerRange
	doneAt clock.Millis
}

// loadOrdered records an order to load layers. Orders are reported more than once, so a
// repetition does not move the expected end.
func (m *Model) loadOrdered(u *upstream, layers fleet.LayerRange) {
	if u.pipeline == nil || u.loading.layers == layers {
		return
	}
	added := layers.Len() - u.held().Overlap(layers).Len()
	load := u.pipeline.LoadMS * float64(added) / float64(max(u.pipeline.Layers, 1))
	u.loading = loadOrder{layers: layers, doneAt: m.now.Add(clock.Millis(load))}
}

// missingLayersLoaded returns when the layers that no engine holds are expected to be loaded: now if
// none is missing. ok is false if no engine is known to load one of them, or if a load is overdue,
// since its end is then unknown.
func (m *Model) missingLayersLoaded(r *request) (end clock.Millis, ok bool) {
	loadedAt := make([]clock.Millis, r.service.Pipeline.Layers)
	for i := range loadedAt {
		loadedAt[i] = clock.Never
	}
	mark := func(layers fleet.LayerRange, at clock.Millis) {
		for i := max(layers.From, 0); i < min(layers.To, len(loadedAt)); i++ {
			if loadedAt[i] == clock.Never || at < loadedAt[i] {
				loadedAt[i] = at
			}
		}
	}
	for _, u := range m.byService[r.service.Name] {
		if !u.acceptsWork() || u.unresponsive {
			continue
		}
		mark(u.held(), m.now)
		if u.loading.doneAt > m.now {
			mark(u.loading.layers, u.loading.doneAt)
		}
	}
	end = m.now
	for _, at := range loadedAt {
		if at == clock.Never {
			return 0, false
		}
		end = max(end, at)
	}
	return end, true
}

package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/hoistjunction/hoistjunction/lab"
)

// harm does a harm to a part of the upstreams, and undoes it after its time.
func (d *Deployment) harm(ctx context.Context, h Harm) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lasts := time.Duration(h.ForMS) * time.Millisecond
	if h.Kind == lab.PlainServiceFull {
		for _, desk := range d.desks {
			desk.SetShut(true)
			time.AfterFunc(lasts, func() { desk.SetShut(false) })
		}
		return
	}
	for _, i := range d.random.Perm(len(d.engines))[:d.part(h.Share)] {
		d.harmEngine(ctx, d.engines[i], h, lasts)
	}
}

// part is how many engines a share of them is: one at least.
func (d *Deployment) part(share float64) int {
	return min(max(int(share*float64(len(d.engines))+1.0/2), 1), len(d.engines))
}

// harmEngine does a harm to one engine. The caller holds the lock.
func (d *Deployment) harmEngine(ctx context.Context, e *deployedEngine, h Harm, lasts time.Duration) {
	engine := e.engine
	switch h.Kind {
	case lab.EngineCrash:
		e.end()
		time.AfterFunc(lasts, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if e.engine == engine {
				// Its address is its own; should it be taken the engine stays away.
				_ = d.start(ctx, e, e.address)
			}
		})
	case lab.EngineSlow:
		engine.SetSlow(h.X)
		time.AfterFunc(lasts, func() { engine.SetSlow(1) })
	case lab.EngineBackOff:
		engine.SetRest(RestFaults{ForMS: int(h.ForMS), Ask: strconv.FormatFloat(h.X, 'f', -1, 64)})
	case lab.EngineRefuse:
		engine.SetRest(RestFaults{ForMS: int(h.ForMS)})
	case lab.EngineLimit:
		x := h.X
		if h.XMost > h.X {
			x += d.random.Float64() * (h.XMost - h.X)
		}
		engine.SetLimit(LimitFaults{Name: strconv.FormatFloat(x, 'f', 2, 64)})
		time.AfterFunc(lasts, func() { engine.SetLimit(LimitFaults{}) })
	default:
		// The others are done to nodes, callers or the store.
	}
}

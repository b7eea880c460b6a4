package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/hoistjunction/hoistjunction/lab"
)

// injectFault does a harm to a part of the upstreams, and undoes it after its time.
func (d *Deployment) injectFault(ctx context.Context, h FaultInjection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lasts := time.Duration(h.ForMS) * time.Millisecond
	if h.Kind == lab.PlainServiceFull {
		for _, desk := range d.plainServers {
			desk.SetRejectAll(true)
			time.AfterFunc(lasts, func() { desk.SetRejectAll(false) })
		}
		return
	}
	for _, i := range d.random.Perm(len(d.engines))[:d.engineCount(h.Share)] {
		d.injectEngineFault(ctx, d.engines[i], h, lasts)
	}
}

// engineCount is how many engines a share of them is: one at least.
func (d *Deployment) engineCount(share float64) int {
	return min(max(int(share*float64(len(d.engines))+1.0/2), 1), len(d.engines))
}

// injectEngineFault does a harm to one engine. The caller holds the lock.
func (d *Deployment) injectEngineFault(ctx context.Context, e *deployedEngine, h FaultInjection, lasts time.Duration) {
	engine := e.engine
	switch h.Kind {
	case lab.EngineCrash:
		e.stop()
		time.AfterFunc(lasts, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if e.engine == engine {
				// Its address is its own; should it be taken the engine stays away.
				_ = d.startEngine(ctx, e, e.address)
			}
		})
	case lab.EngineSlow:
		engine.SetSlowdown(h.Magnitude)
		time.AfterFunc(lasts, func() { engine.SetSlowdown(1) })
	case lab.EngineBackOff:
		engine.SetBackOff(BackOffFaults{ForMS: int(h.ForMS), RetryAfter: strconv.FormatFloat(h.Magnitude, 'f', -1, 64)})
	case lab.EngineRefuse:
		engine.SetBackOff(BackOffFaults{ForMS: int(h.ForMS)})
	case lab.EngineLimit:
		x := h.Magnitude
		if h.MaxMagnitude > h.Magnitude {
			x += d.random.Float64() * (h.MaxMagnitude - h.Magnitude)
		}
		engine.SetAdvertisedLimit(LimitFaults{Advertised: strconv.FormatFloat(x, 'f', 2, 64)})
		time.AfterFunc(lasts, func() { engine.SetAdvertisedLimit(LimitFaults{}) })
	default:
		// The others are done to nodes, callers or the store.
	}
}

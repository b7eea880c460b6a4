package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/hoistjunction/hoistjunction/lab"
)

// injectFault injects a fault into some of the upstreams and removes it after
// its duration.
func (d *Deployment) injectFault(ctx context.Context, f FaultInjection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	duration := time.Duration(f.ForMS) * time.Millisecond
	if f.Kind == lab.PlainServiceFull {
		for _, server := range d.plainServers {
			server.SetRejectAll(true)
			time.AfterFunc(duration, func() { server.SetRejectAll(false) })
		}
		return
	}
	for _, i := range d.random.Perm(len(d.engines))[:d.engineCount(f.Share)] {
		d.injectEngineFault(ctx, d.engines[i], f, duration)
	}
}

// engineCount returns the number of engines in a share of them, at least one.
func (d *Deployment) engineCount(share float64) int {
	return min(max(int(share*float64(len(d.engines))+1.0/2), 1), len(d.engines))
}

// injectEngineFault injects a fault into one engine. The caller holds the lock.
func (d *Deployment) injectEngineFault(ctx context.Context, e *deployedEngine, f FaultInjection, duration time.Duration) {
	engine := e.engine
	switch f.Kind {
	case lab.EngineCrash:
		e.stop()
		time.AfterFunc(duration, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if e.engine == engine {
				// No other engine uses this address. If it is in use nevertheless,
				// the engine stays stopped.
				_ = d.startEngine(ctx, e, e.address)
			}
		})
	case lab.EngineSlow:
		engine.SetSlowdown(f.Magnitude)
		time.AfterFunc(duration, func() { engine.SetSlowdown(1) })
	case lab.EngineBackOff:
		engine.SetBackOff(BackOffFaults{ForMS: int(f.ForMS), RetryAfter: strconv.FormatFloat(f.Magnitude, 'f', -1, 64)})
	case lab.EngineRefuse:
		engine.SetBackOff(BackOffFaults{ForMS: int(f.ForMS)})
	case lab.EngineLimit:
		limit := f.Magnitude
		if f.MaxMagnitude > f.Magnitude {
			limit += d.random.Float64() * (f.MaxMagnitude - f.Magnitude)
		}
		engine.SetAdvertisedLimit(LimitFaults{Advertised: strconv.FormatFloat(limit, 'f', 2, 64)})
		time.AfterFunc(duration, func() { engine.SetAdvertisedLimit(LimitFaults{}) })
	default:
		// The other faults are injected into nodes, clients or the store.
	}
}

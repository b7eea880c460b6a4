package placer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/placer"
)

// restartedEngines respond as a newer incarnation than the requested one.
type restartedEngines struct {
	immediateEngines
	stateRequests int
}

func (e *restartedEngines) State(context.Context, string, fleet.Incarnation) (placer.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stateRequests++
	return placer.State{}, errors.Mark(errors.New("response of another incarnation"), placer.ErrOtherIncarnation)
}

// Guards against an order for an engine that has restarted since the plan. The restart resets the
// engine's order count, so the count in the order does not prevent the new incarnation from
// accepting it, although the plan relied on the layers of the previous one.
func TestNoOrderForOtherIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := clocktest.NewClock()
		engines := &restartedEngines{immediateEngines: immediateEngines{held: make(map[string]fleet.LayerRange)}}
		p := placer.New(placement.New(placement.WithStart(c.Now())), engines, c, logging.Nop().Logger, func(fleet.Incarnation, fleet.LayerRange, bool) {})
		go func() { _ = p.Run(ctx) }()
		p.Send(placement.CatalogMsg{Catalog: smallCatalog()})
		p.Send(placement.FleetMsg{Changes: emptyEngineChanges()})
		time.Sleep(time.Minute)
		if engines.stateRequests == 0 || engines.orderedCount() != 0 {
			t.Errorf("got %d state requests and %d engines with an order, want some requests and no order", engines.stateRequests, engines.orderedCount())
		}
	})
}

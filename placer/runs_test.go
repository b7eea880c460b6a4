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

// restartedEngines answer as a later run than is asked.
type restartedEngines struct {
	immediateEngines
	stateRequests int
}

func (e *restartedEngines) State(context.Context, string, fleet.Incarnation) (placer.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stateRequests++
	return placer.State{}, errors.Mark(errors.New("as another run"), placer.ErrOtherIncarnation)
}

// An engine starts again between a plan and its order. Its count of orders begins anew, so
// the count that an order names does not keep it from the new run: what it believes to be
// held there was held by the earlier one.
func TestOrderIsNotGivenToAnotherRun(t *testing.T) {
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
			t.Errorf("got %d engines asked and %d ordered, want some asked and none ordered", engines.stateRequests, engines.orderedCount())
		}
	})
}

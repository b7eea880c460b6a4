package standin

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placer"
	"github.com/hoistjunction/hoistjunction/platform"
)

// Guards against a report that the platform client cannot decode: after an order,
// the stand-in wrote the number of orders as a JSON string and omitted the start of
// a range from layer 0, which real engines do not. The node then sent no further
// orders. Seed 118 of the soak run showed this when the engines with the first
// layers crashed.
func TestReportDecodesAfterOrder(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	engine := NewChainEngine("e1", server.Listener.Addr().String())
	server.Config.Handler = engine.Handler()
	server.Start()
	t.Cleanup(server.Close)
	engines := platform.NewEngines()
	t.Cleanup(engines.Close)
	address, incarnation := server.Listener.Addr().String(), fleet.IncarnationByID("e1")
	if _, err := engines.Place(context.Background(), address, incarnation, fleet.LayerRange{To: 4}, 0); err != nil {
		t.Fatal(err)
	}
	state, err := engines.State(context.Background(), address, incarnation)
	for err == nil && state.Busy {
		time.Sleep(loadTime / 10)
		state, err = engines.State(context.Background(), address, incarnation)
	}
	want := placer.State{OrdersTaken: 1, Held: fleet.LayerRange{To: 4}}
	if err != nil || state != want {
		t.Errorf("State after an order: got %+v, %v, want %+v", state, err, want)
	}
	if _, err := engines.Place(context.Background(), address, incarnation, fleet.LayerRange{From: 2, To: 6}, 0); err == nil {
		t.Error("Place with a stale order count: got no error, want a rejection")
	}
}

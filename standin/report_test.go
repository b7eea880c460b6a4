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

// Once a stand-in had taken an order its report wrote the count of orders as a text, and left
// out the beginning of a range from the first layer on, which no engine does. The node could
// not read it, and gave no further order. Found by seed 118 of the soak, in which engines that
// held the first layers were lost.
func TestReportDecodesAfterOrder(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	engine := NewChainEngine("e1", server.Listener.Addr().String())
	server.Config.Handler = engine.Handler()
	server.Start()
	t.Cleanup(server.Close)
	engines := platform.NewEngines()
	t.Cleanup(engines.Close)
	address, run := server.Listener.Addr().String(), fleet.IncarnationByID("e1")
	if _, err := engines.Place(context.Background(), address, run, fleet.LayerRange{To: 4}, 0); err != nil {
		t.Fatal(err)
	}
	state, err := engines.State(context.Background(), address, run)
	for err == nil && state.Busy {
		time.Sleep(loadTime / 10)
		state, err = engines.State(context.Background(), address, run)
	}
	want := placer.State{OrdersTaken: 1, Held: fleet.LayerRange{To: 4}}
	if err != nil || state != want {
		t.Errorf("got %+v, %v after an order, want %+v", state, err, want)
	}
	if _, err := engines.Place(context.Background(), address, run, fleet.LayerRange{From: 2, To: 6}, 0); err == nil {
		t.Error("got an order taken that names an older count, want it refused")
	}
}

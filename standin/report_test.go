package standin

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/platform"
)

// Once a stand-in had taken an order its report wrote the count of orders as a text, which
// no engine does: the node could not read it, and gave it no further order. Found by seed 118
// of the soak, in which engines started again with others lost.
func TestReportIsReadAfterAnOrder(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	engine := NewChainEngine("e1", server.Listener.Addr().String())
	server.Config.Handler = engine.Handler()
	server.Start()
	t.Cleanup(server.Close)
	engines := platform.NewEngines()
	t.Cleanup(engines.Close)
	address, run := server.Listener.Addr().String(), fleet.Undated("e1")
	if _, err := engines.Place(context.Background(), address, run, fleet.Range{To: 4}, 0); err != nil {
		t.Fatal(err)
	}
	state, err := engines.State(context.Background(), address, run)
	if err != nil || state.OrdersTaken != 1 {
		t.Errorf("got %+v, %v after an order, want one taken", state, err)
	}
	if _, err := engines.Place(context.Background(), address, run, fleet.Range{From: 2, To: 6}, 0); err == nil {
		t.Error("got an order taken that names an older count, want it refused")
	}
}

package dispatch_test

import (
	"net/http"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// newWaitingRequest returns a model in which request 1, which has no key, waits for an engine with the
// last layers of a pipeline of 8 layers.
func newWaitingRequest(t *testing.T) *dispatch.Model {
	t.Helper()
	m := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetrySlack: 9, MaxWaiting: 4, MaxWaitingBytes: 1000}))
	m.Update(0, dispatch.PeersMsg{TotalNodes: 1})
	m.Update(0, dispatch.CatalogMsg{Catalog: waitingCatalog(1, 8, true)})
	setEngine(m, "e1", 0, 4)
	setEngine(m, "e2", 0, 0)
	m.Update(10, dispatch.PlacedMsg{Upstream: fleet.IncarnationByID("e2"), Layers: fleet.LayerRange{From: 4, To: 8}})
	cmds := m.Update(20, dispatch.ArriveMsg{Request: 1, Host: "h", Path: "/a", PromptTokens: 10, AnswerTokens: 10, Remaining: 20_000})
	if _, waits := cmds[0].(dispatch.CapacityWaitCmd); !waits {
		t.Fatalf("got %+v, want the request to wait", cmds)
	}
	return m
}

// waitingCatalog returns a pipeline of some layers. Its route needs no key if it is anonymous.
func waitingCatalog(version uint64, layers int, anonymous bool) *catalog.Catalog {
	return catalog.New(version,
		catalog.WithRoutes(&catalog.Route{Name: "write", Host: "h", Prefix: "/", Kind: catalog.Streaming, Resumable: true, Anonymous: anonymous,
			Targets: []catalog.Target{{Service: "writer", Weight: 1}}, MaxAttempts: 2, Timeout: 20_000, LatencyTarget: 500}),
		catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
			Layers: layers, LayerMB: 1, TokenBytes: 1, StepMS: 1, LoadMS: 1000,
			Accelerators: map[string]catalog.Accelerator{"fast": {Name: "fast", MemoryMB: 5000, StepFactor: 1, ReadFactor: 1}},
		}}),
		catalog.WithAccount(catalog.Account{Name: "clinic"}, "k"))
}

func setEngine(m *dispatch.Model, name fleet.ID, from, to int) {
	id := fleet.IncarnationByID(name)
	m.Update(0, dispatch.FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{
		ID: id, Service: "writer", Address: string(name), Accelerator: "fast", Held: fleet.LayerRange{From: from, To: to},
	}}}})
}

// Guards against sending a request, which has waited while the pipeline got more layers, over a chain
// that executes the former ones only.
func TestWaitingRequestUsesNewPipeline(t *testing.T) {
	m := newWaitingRequest(t)
	m.Update(100, dispatch.CatalogMsg{Catalog: waitingCatalog(2, 12, true)})
	setEngine(m, "e3", 4, 12)
	for _, cmd := range m.Update(200, dispatch.TickMsg{}) {
		if sent, ok := cmd.(dispatch.SendCmd); ok {
			if last := sent.Chain[len(sent.Chain)-1].Layers; last.To != 12 {
				t.Errorf("got a chain up to layer %d, want 12", last.To)
			}
			return
		}
	}
	t.Error("got no SendCmd, want one")
}

// Guards against sending a request without a key whose route has come to require one while the
// request waited.
func TestWaitingRequestNeedsKeyOfNewRoute(t *testing.T) {
	m := newWaitingRequest(t)
	cmds := m.Update(100, dispatch.CatalogMsg{Catalog: waitingCatalog(2, 8, false)})
	for _, cmd := range cmds {
		if refused, ok := cmd.(dispatch.RespondCmd); ok {
			if refused.Status != http.StatusUnauthorized {
				t.Errorf("got status %d, want %d", refused.Status, http.StatusUnauthorized)
			}
			return
		}
	}
	t.Errorf("got %+v, want a refusal", cmds)
}

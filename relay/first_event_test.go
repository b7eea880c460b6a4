package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against a prompt that counts as read more than once or never, which would spoil all later
// predictions, and against predictions that cannot be compared with what came: each of the two
// attempts of a resumed stream has several events, and each has one first event.
func TestFirstEventOfEachAttempt(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	upstreams := &scriptedUpstreams{script: []outcome{brokenStream, wholeStream}}
	r, address := newLoggingTestRelay(t, upstreams, zap.New(core))
	addTestEngines(t, r, upstreams)
	if got := call(t, http.DefaultClient, address, "/engines/a"); !got.complete || got.body != eventsText(0, lastStreamEvent) {
		t.Fatalf("got complete=%v and %q, want all events", got.complete, got.body)
	}
	if got := r.stats.firstEventRatioPct.TotalCount(); got != 2 {
		t.Errorf("got %d first events, want one for each of two attempts", got)
	}
	sent := logs.FilterMessage("sent").All()
	if len(sent) != 2 {
		t.Fatalf("got %d sent lines, want 2", len(sent))
	}
	// 100 tokens at 2 a ms, the steps and both ways take 51.8 ms; the second attempt also reads the events
	// that the caller has.
	first, second := sent[0].ContextMap()["predicted_ms"].(int64), sent[1].ContextMap()["predicted_ms"].(int64)
	if first != 52 || second <= first {
		t.Errorf("got predictions of %d and %d ms, want 52 and more than that", first, second)
	}
	answered := logs.FilterMessage("answered").All()
	if len(answered) != 1 || answered[0].ContextMap()["predicted_ms"] != first {
		t.Errorf("got %v, want a line with the prediction for the first event", answered)
	}
}

// A plain service has no prediction, so its answers must not count as predicted ones.
func TestPlainStreamIsNotPredicted(t *testing.T) {
	r, address := newTestRelay(t, &scriptedUpstreams{script: []outcome{wholeStream}})
	call(t, http.DefaultClient, address, "/write/a")
	if got := r.stats.firstEventRatioPct.TotalCount(); got != 0 {
		t.Errorf("got %d compared predictions, want none", got)
	}
}

// addTestEngines configures a pipeline on two engines that hold all layers.
func addTestEngines(t *testing.T, r *Relay, upstreams http.Handler) {
	t.Helper()
	pipeline := &catalog.Pipeline{
		Layers: 8, LayerMB: 1, TokenBytes: 8, StepMS: 0.25, ReadRate: 2, StepsPerPass: 4, MeanPromptTokens: 100,
		Accelerators: map[string]catalog.Accelerator{"fast": {Name: "fast", MemoryMB: 100, StepFactor: 1, ReadFactor: 1}},
	}
	r.SetCatalog(catalog.New(2,
		catalog.WithRoutes(&catalog.Route{
			Name: "engines", Host: "h", Prefix: "/engines/", Kind: catalog.Streaming, Resumable: true, Anonymous: true,
			Targets: []catalog.Target{{Service: "writer", Weight: 1}}, MaxAttempts: testUpstreams, Timeout: 10_000, LatencyTarget: 10_000,
		}),
		catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: pipeline}),
	), r.clock.Now())
	for _, name := range []fleet.ID{"e1", "e2"} {
		server := httptest.NewServer(upstreams)
		t.Cleanup(server.Close)
		id := fleet.IncarnationByID(name)
		r.UpdateFleet([]fleet.Change{{ID: id, Upstream: fleet.Upstream{
			ID: id, Service: "writer", Address: server.Listener.Addr().String(), Accelerator: "fast", Held: fleet.LayerRange{To: 8},
		}}})
	}
}

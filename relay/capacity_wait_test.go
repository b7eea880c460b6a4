package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against leaving a request without an answer after the decider has queued it, and against
// metrics that do not show it. It waits while an engine loads the layers, and is sent once they are
// loaded or refused when the node stops.
func TestRequestWaitsForCapacity(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(r *Relay, engine fleet.Incarnation)
		status int
		waits  dispatch.CapacityWaits
	}{
		{"loaded", func(r *Relay, engine fleet.Incarnation) { r.HandlePlacement(engine, fleet.LayerRange{To: 4}, true) }, http.StatusOK, dispatch.CapacityWaits{Begun: 1, Sent: 1}},
		{"drained", func(r *Relay, _ fleet.Incarnation) { r.Stop(r.clock.Now(), r.clock.Now()) }, http.StatusServiceUnavailable, dispatch.CapacityWaits{Begun: 1, Refused: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			upstreams := &scriptedUpstreams{script: []outcome{wholeStream}}
			r, address := newTestRelay(t, upstreams)
			engine := addLoadingEngine(t, r, upstreams)
			status := make(chan int, 1)
			go func() { status <- statusOf(t, "http://"+address+"/model/a") }()
			awaitWaits(t, r, func(w dispatch.CapacityWaits) bool { return w.Waiting == 1 })
			c.end(r, engine)
			if got := <-status; got != c.status {
				t.Errorf("got status %d, want %d", got, c.status)
			}
			awaitWaits(t, r, func(w dispatch.CapacityWaits) bool {
				w.Longest = 0
				return w == c.waits
			})
		})
	}
}

// addLoadingEngine adds a pipeline service with one engine that is loading its layers.
func addLoadingEngine(t *testing.T, r *Relay, upstreams http.Handler) fleet.Incarnation {
	t.Helper()
	server := httptest.NewServer(upstreams)
	t.Cleanup(server.Close)
	r.SetCatalog(catalog.New(2,
		catalog.WithRoutes(&catalog.Route{
			Name: "model", Host: "h", Prefix: "/model/", Kind: catalog.Streaming, Resumable: true, Anonymous: true,
			Targets: []catalog.Target{{Service: "model", Weight: 1}}, MaxAttempts: 2, Timeout: 10_000, LatencyTarget: 10_000,
		}),
		catalog.WithServices(&catalog.Service{Name: "model", Pipeline: &catalog.Pipeline{
			Layers: 4, LayerMB: 1, TokenBytes: 1, StepMS: 1, LoadMS: 2000, Accelerators: map[string]catalog.Accelerator{"k": {Name: "k", MemoryMB: 100, StepFactor: 1}},
		}})), r.clock.Now())
	id := fleet.IncarnationByID("engine")
	r.UpdateFleet([]fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Service: "model", Accelerator: "k", Address: server.Listener.Addr().String()}}})
	r.HandlePlacement(id, fleet.LayerRange{To: 4}, false)
	return id
}

// awaitWaits waits until the metrics show the expected waits.
func awaitWaits(t *testing.T, r *Relay, expected func(dispatch.CapacityWaits) bool) {
	t.Helper()
	var metrics struct {
		Relay struct {
			Waits dispatch.CapacityWaits `json:"capacity_waits"`
		} `json:"hoistrelay"`
	}
	for deadline := r.clock.Now().Add(5000); r.clock.Now() < deadline; {
		recorder := httptest.NewRecorder()
		r.Metrics(recorder, nil)
		if err := json.Unmarshal(recorder.Body.Bytes(), &metrics); err != nil {
			t.Fatal(err)
		}
		if expected(metrics.Relay.Waits) {
			return
		}
	}
	t.Fatalf("got waits %+v, want others", metrics.Relay.Waits)
}

func statusOf(t *testing.T, url string) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Host = "h"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

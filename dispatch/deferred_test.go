package dispatch

import (
	"net/http"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against memory that grows with the requests that arrive before the node has its initial
// state: they are bounded in number and in bytes, and a request whose caller leaves makes room.
func TestDeferredRequestsAreBounded(t *testing.T) {
	tests := []struct {
		name  string
		bytes int
		want  int
	}{
		{"small requests", 1000, maxDeferred},
		{"large requests", 1 << 20, maxDeferredBytes >> 20},
	}
	for _, tt := range tests {
		m := New()
		arrive := func(id RequestID) []Cmd {
			return m.Update(100, ArriveMsg{Request: id, Host: "h", Path: "/a", BodyBytes: tt.bytes})
		}
		deferred := 0
		for len(arrive(RequestID(deferred))) == 0 {
			deferred++
		}
		if deferred != tt.want {
			t.Errorf("%s: got %d requests deferred, want %d", tt.name, deferred, tt.want)
		}
		m.Update(110, RequestEndedMsg{Request: 0})
		if got := arrive(10_000); len(got) != 0 {
			t.Errorf("%s: got %+v after a caller left, want the request deferred", tt.name, got)
		}
		if got, ok := arrive(10_001)[0].(RespondCmd); !ok || got.Status != http.StatusServiceUnavailable {
			t.Errorf("%s: got %+v beyond the bound, want status %d", tt.name, got, http.StatusServiceUnavailable)
		}
	}
}

// Guards against requests that wait for long at a node which cannot read the stored quarantine,
// because the store is unavailable and its peers have supplied everything else.
func TestRequestsBarelyWaitForQuarantine(t *testing.T) {
	const listAt = clock.Millis(50)
	for _, tt := range []struct {
		at   clock.Millis
		want int
	}{{100, 0}, {listAt + maxQuarantineDeferral - 1, 0}, {listAt + maxQuarantineDeferral, 1}} {
		m := New(WithStoredQuarantine())
		m.Update(50, CatalogMsg{Catalog: catalog.New(1,
			catalog.WithRoutes(&catalog.Route{Name: "r", Host: "h", Prefix: "/", Targets: []catalog.Target{{Service: "s", Weight: 1}}}),
			catalog.WithServices(&catalog.Service{Name: "s"}),
		), ConfirmedAt: 50})
		id := fleet.IncarnationByID("u")
		m.Update(listAt, FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Address: "a"}}}})
		if got := len(m.Update(tt.at, ArriveMsg{Request: 1, Host: "h", Path: "/a"})); got != tt.want {
			t.Errorf("at %d: got %d commands, want %d", tt.at, got, tt.want)
		}
	}
}

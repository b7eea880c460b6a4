package dispatch

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against a timeout of the first attempt at the only upstream of a service, which drops an
// answer that is on its way and leaves the request without another one.
func TestAttemptTimeoutNeedsAlternative(t *testing.T) {
	m := New()
	m.Update(0, CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "read", Host: "h", Prefix: "/", Kind: catalog.Repeatable, Anonymous: true,
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: 2, Timeout: 3000, LatencyTarget: 100}),
		catalog.WithServices(&catalog.Service{Name: "desk"}))})
	timeouts := make([]clock.Millis, 0, 2)
	for i, id := range []fleet.ID{"d1", "d2"} {
		desk := fleet.IncarnationByID(id)
		m.Update(0, FleetMsg{Changes: []fleet.Change{{ID: desk, Upstream: fleet.Upstream{ID: desk, Service: "desk", Address: string(id) + ":80"}}}})
		cmds := m.Update(10, ArriveMsg{Request: RequestID(i + 1), Host: "h", Path: "/a", Remaining: 3000})
		timeouts = append(timeouts, cmds[len(cmds)-1].(SendCmd).AttemptTimeout)
	}
	if got := timeouts[0]; got != 0 {
		t.Errorf("got a timeout of %d ms with one upstream, want none", got)
	}
	if got := timeouts[1]; got == 0 {
		t.Error("got no timeout with two upstreams, want one")
	}
}

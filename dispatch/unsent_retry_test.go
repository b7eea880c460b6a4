package dispatch_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against retries that are charged but not sent. Requests that an upstream refused used up
// the retry budget although no other upstream was available, and requests that could have been
// retried a moment later were then refused.
func TestRetryWithoutUpstreamSpendsNoBudget(t *testing.T) {
	// A node in its first window has 0.18 of the slack: one retry.
	m := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetrySlack: 6}))
	m.Update(0, dispatch.PeersMsg{TotalNodes: 1})
	m.Update(0, dispatch.CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Repeatable, Anonymous: true,
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: 2, Timeout: 1500, LatencyTarget: 100}),
		catalog.WithServices(&catalog.Service{Name: "desk"}))})
	now := clock.Millis(0)
	setUpstream := func(id fleet.Incarnation, leaving bool) {
		u := fleet.Upstream{ID: id, Service: "desk", Address: id.String(), Leaving: leaving}
		m.Update(now, dispatch.FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: u}}})
	}
	refuse := func(request dispatch.RequestID) []dispatch.Cmd {
		m.Update(now, dispatch.ArriveMsg{Request: request, Host: "h", Path: "/read/a"})
		return m.Update(now, dispatch.AttemptFailedMsg{Request: request, Attempt: 1, Cause: dispatch.CauseFull})
	}
	for request := range dispatch.RequestID(5) {
		now = now.Add(1000)
		setUpstream(fleet.IncarnationByID("d1"), false)
		if _, waits := refuse(request)[0].(dispatch.SlotWaitCmd); !waits {
			t.Fatalf("request %d: got no SlotWaitCmd, want one", request)
		}
		setUpstream(fleet.IncarnationByID("d1"), true)
		if _, finished := m.Update(now, dispatch.TickMsg{})[0].(dispatch.RespondCmd); !finished {
			t.Fatalf("request %d: got no RespondCmd, want a refusal: no other upstream is available", request)
		}
	}
	now = now.Add(1000)
	setUpstream(fleet.IncarnationByID("d1"), false)
	setUpstream(fleet.IncarnationByID("d2"), false)
	if _, sent := refuse(9)[0].(dispatch.SendCmd); !sent {
		t.Error("got no retry, want the one in the budget")
	}
}

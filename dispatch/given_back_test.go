package dispatch_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Requests that an upstream had turned away spent the budget of repeats although there was
// nobody to repeat them to, and those that could have been repeated a moment later were
// refused for want of it.
func TestRepeatThatCannotBeMadeSpendsNothing(t *testing.T) {
	// A young node alone has 0.18 of the slack: one repeat.
	m := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetrySlack: 6}))
	m.Update(0, dispatch.PeersMsg{TotalNodes: 1})
	m.Update(0, dispatch.CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Repeatable, Anonymous: true,
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: 2, Timeout: 1500, LatencyTarget: 100}),
		catalog.WithServices(&catalog.Service{Name: "desk"}))})
	now := clock.Millis(0)
	list := func(id fleet.Incarnation, leaving bool) {
		u := fleet.Upstream{ID: id, Service: "desk", Address: id.String(), Leaving: leaving}
		m.Update(now, dispatch.FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: u}}})
	}
	refuse := func(request dispatch.RequestID) []dispatch.Cmd {
		m.Update(now, dispatch.ArriveMsg{Request: request, Host: "h", Path: "/read/a"})
		return m.Update(now, dispatch.AttemptFailedMsg{Request: request, Attempt: 1, Cause: dispatch.CauseFull})
	}
	for request := range dispatch.RequestID(5) {
		now = now.Add(1000)
		list(fleet.IncarnationByID("d1"), false)
		if _, waits := refuse(request)[0].(dispatch.SlotWaitCmd); !waits {
			t.Fatalf("request %d: got no wait, want one for a place", request)
		}
		list(fleet.IncarnationByID("d1"), true)
		if _, finished := m.Update(now, dispatch.TickMsg{})[0].(dispatch.RespondCmd); !finished {
			t.Fatalf("request %d: got no answer, want a refusal: nobody else is there", request)
		}
	}
	now = now.Add(1000)
	list(fleet.IncarnationByID("d1"), false)
	list(fleet.IncarnationByID("d2"), false)
	if _, sent := refuse(9)[0].(dispatch.SendCmd); !sent {
		t.Error("got no repeat, want the one that the budget has")
	}
}

package dispatch_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Requests that an upstream had turned away spent the budget of repeats although there was
// nobody to repeat them to, and those that could have been repeated a moment later were
// refused for want of it.
func TestRepeatThatCannotBeMadeSpendsNothing(t *testing.T) {
	// A young node alone has 0.18 of the slack: one repeat.
	m := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetrySlack: 6}))
	m.Update(0, dispatch.PeersMsg{All: 1})
	m.Update(0, dispatch.CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Repeatable, Anonymous: true,
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: 2, Timeout: 1500, Aim: 100}),
		catalog.WithServices(&catalog.Service{Name: "desk"}))})
	list := func(id fleet.Incarnation) {
		m.Update(0, dispatch.FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Service: "desk", Address: id.String()}}}})
	}
	refuse := func(request dispatch.RequestID) []dispatch.Cmd {
		m.Update(1, dispatch.ArriveMsg{Request: request, Host: "h", Path: "/read/a"})
		return m.Update(2, dispatch.AttemptFailedMsg{Request: request, Attempt: 1, Cause: dispatch.NotRunFull})
	}
	list(fleet.Undated("d1"))
	for request := range dispatch.RequestID(5) {
		if _, finished := refuse(request)[0].(dispatch.FinishCmd); !finished {
			t.Fatalf("request %d: got no answer, want a refusal: nobody else is there", request)
		}
	}
	list(fleet.Undated("d2"))
	if _, sent := refuse(9)[0].(dispatch.SendCmd); !sent {
		t.Error("got no repeat, want the one that the budget has")
	}
}

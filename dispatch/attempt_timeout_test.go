package dispatch

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// newDeskModel returns a model of a plain service with a route of repeatable requests, and no upstream.
func newDeskModel(maxAttempts int) *Model {
	m := New()
	m.Update(0, CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "read", Host: "h", Prefix: "/", Kind: catalog.Repeatable, Anonymous: true,
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: maxAttempts, Timeout: 3000, LatencyTarget: 100}),
		catalog.WithServices(&catalog.Service{Name: "desk"}))})
	return m
}

// addDesk adds an upstream of the plain service.
func addDesk(m *Model, id fleet.ID) {
	desk := fleet.IncarnationByID(id)
	m.Update(0, FleetMsg{Changes: []fleet.Change{{ID: desk, Upstream: fleet.Upstream{ID: desk, Service: "desk", Address: string(id) + ":80"}}}})
}

// sendToDesk sends a request and returns its command.
func sendToDesk(m *Model, id RequestID) SendCmd {
	cmds := m.Update(10, ArriveMsg{Request: id, Host: "h", Path: "/a", Remaining: 3000})
	return cmds[len(cmds)-1].(SendCmd)
}

// Guards against a timeout of the first attempt at the only upstream of a service, which drops an
// answer that is on its way and leaves the request without another one.
func TestAttemptTimeoutNeedsAlternative(t *testing.T) {
	m := newDeskModel(2)
	addDesk(m, "d1")
	if got := sendToDesk(m, 1).AttemptTimeout; got != 0 {
		t.Errorf("got a timeout of %d ms with one upstream, want none", got)
	}
	addDesk(m, "d2")
	if got := sendToDesk(m, 2).AttemptTimeout; got == 0 {
		t.Error("got no timeout with two upstreams, want one")
	}
}

// Guards against giving up the only attempt that a route allows: the request ends with a failure while
// its upstream works on it.
func TestOnlyAttemptHasNoTimeout(t *testing.T) {
	m := newDeskModel(1)
	addDesk(m, "d1")
	addDesk(m, "d2")
	if got := sendToDesk(m, 1).AttemptTimeout; got != 0 {
		t.Errorf("got a timeout of %d ms on a route with one attempt, want none", got)
	}
}

// Guards against a node without history that gives up calls of a slow, sound service after a time that
// was assumed: it suspects all upstreams and fails requests that they work on.
func TestAttemptTimeoutWithoutHistory(t *testing.T) {
	m := newDeskModel(2)
	addDesk(m, "d1")
	addDesk(m, "d2")
	sent := sendToDesk(m, 1)
	if got, want := sent.AttemptTimeout, clock.Millis(1000); got < want {
		t.Errorf("got a timeout of %d ms at an upstream that has never answered, want %d or more of 3000", got, want)
	}
	m.Update(40, AttemptDoneMsg{Request: 1, Attempt: 1, Took: 30})
	for id := RequestID(2); ; id++ {
		next := sendToDesk(m, id)
		if next.Upstream != sent.Upstream {
			m.Update(40, AttemptDoneMsg{Request: id, Attempt: 1, Took: 30})
			continue
		}
		if got, most := next.AttemptTimeout, clock.Millis(600); got > most {
			t.Errorf("got a timeout of %d ms at an upstream that answers in 30 ms, want %d at the most", got, most)
		}
		break
	}
}

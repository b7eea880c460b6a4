package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwarding"
)

// Guards against attempts beyond their bound after other nodes could not be reached. An attempt at such a
// node takes no upstream of this one, so it counted also as one at an upstream that has never
// answered, and each allowed one further attempt that upstreams refuse.
func TestUnreachedNodesAllowNoFurtherAttempts(t *testing.T) {
	// maxRefused is the bound of attempts that upstreams refuse.
	const upstreams, nodes, maxRefused = 20, 4, 8
	m := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetrySlack: 1000}))
	peers := dispatch.PeersMsg{TotalNodes: nodes + 1}
	for i := range nodes {
		peers.ForwardTargets = append(peers.ForwardTargets, forwarding.Node{Name: fmt.Sprint("n", i), Address: fmt.Sprint("n", i)})
	}
	m.Update(0, peers)
	m.Update(0, dispatch.CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "read", Host: "h", Prefix: "/read/", Kind: catalog.Repeatable, Anonymous: true,
			Targets: []catalog.Target{{Service: "desk", Weight: 1}}, MaxAttempts: 2, Timeout: 1500, LatencyTarget: 100}),
		catalog.WithServices(&catalog.Service{Name: "desk"}))})
	for i := range upstreams {
		id := fleet.IncarnationByID(fleet.ID(fmt.Sprint("d", i)))
		m.Update(0, dispatch.FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Service: "desk", Address: id.String()}}}})
	}
	// sent returns the attempt among commands; the zero value if there is none.
	sent := func(cmds []dispatch.Cmd) dispatch.SendCmd {
		for _, cmd := range cmds {
			if send, ok := cmd.(dispatch.SendCmd); ok {
				return send
			}
		}
		return dispatch.SendCmd{}
	}
	attempt := sent(m.Update(0, dispatch.ArriveMsg{Request: 1, Host: "h", Path: "/read/a", Remaining: 1500}))
	unreached, refused := 0, 0
	for attempt.Attempt > 0 {
		cause := dispatch.CauseNotSent
		switch {
		case attempt.Node != "":
			unreached++
		case unreached > 0:
			cause = dispatch.CauseMisdirected
			refused++
		}
		if unreached == nodes && refused == 0 {
			for i := range upstreams {
				m.Update(0, dispatch.ProbedMsg{Upstream: fleet.IncarnationByID(fleet.ID(fmt.Sprint("d", i))), Answered: true})
			}
		}
		attempt = sent(m.Update(0, dispatch.AttemptFailedMsg{Request: 1, Attempt: attempt.Attempt, Cause: cause}))
	}
	if unreached != nodes || refused != maxRefused {
		t.Errorf("got %d attempts at nodes and then %d refused ones, want %d and %d", unreached, refused, nodes, maxRefused)
	}
}

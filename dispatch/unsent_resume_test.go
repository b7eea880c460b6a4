package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against more retries in a window than the budget allows. The retry of a stream that waits
// for its turn to be resumed is refunded if its client leaves. Refunded at that time and not at the
// time of the charge, it replaced a retry that another request had made since, and the charge for
// the stream expired earlier than that retry.
func TestRefundOfUnsentResumeKeepsBudget(t *testing.T) {
	const window, allowed = 10_000, 4
	// A node after its first window has 0.45 of the slack.
	m := dispatch.New(dispatch.WithPolicy(dispatch.Policy{RetryWindow: window, RetrySlack: 9}))
	m.Update(0, dispatch.PeersMsg{TotalNodes: 1})
	m.Update(0, dispatch.CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "steady", Host: "h", Prefix: "/", Kind: catalog.Streaming, Resumable: true, Anonymous: true,
			Targets: []catalog.Target{{Service: "writer", Weight: 1}}, MaxAttempts: 2, Timeout: 20_000, LatencyTarget: 500, EventGapTarget: 250}),
		catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
			Layers: 1, LayerMB: 1, TokenBytes: 1, StepMS: 1,
			Accelerators: map[string]catalog.Accelerator{"fast": {Name: "fast", MemoryMB: 5000, StepFactor: 1, ReadFactor: 1}},
		}}))})
	for i := range 12 {
		id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%d", i)))
		m.Update(0, dispatch.FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{
			ID: id, Service: "writer", Address: id.String(), Accelerator: "fast", Held: fleet.LayerRange{To: 1},
		}}}})
	}
	arrive := func(now clock.Millis, request dispatch.RequestID) {
		m.Update(now, dispatch.ArriveMsg{Request: request, Host: "h", Path: "/a", PromptTokens: 10, AnswerTokens: 10})
	}
	// retry makes a new request whose first attempt is refused, and reports whether it is sent again.
	retry := func(now clock.Millis, request dispatch.RequestID) bool {
		arrive(now, request)
		for _, cmd := range m.Update(now, dispatch.AttemptFailedMsg{Request: request, Attempt: 1, Cause: dispatch.CauseFull}) {
			if _, sent := cmd.(dispatch.SendCmd); sent {
				return true
			}
		}
		return false
	}
	m.Update(19_800, dispatch.PeersMsg{TotalNodes: 1})
	for request := range dispatch.RequestID(2) {
		arrive(19_900, request)
		m.Update(19_950, dispatch.AttemptFailedMsg{Request: request, Attempt: 1, Cause: dispatch.CauseFull, Events: 2, Delivered: dispatch.DeliveredEvents, LastEventAt: 19_940})
	}
	retries, next := 0, dispatch.RequestID(10)
	for _, now := range []clock.Millis{20_500, 20_700, 30_000} {
		for range allowed {
			if next++; retry(now, next) {
				retries++
			}
		}
		if now == 20_500 {
			m.Update(20_600, dispatch.RequestEndedMsg{Request: 0})
			m.Update(20_600, dispatch.RequestEndedMsg{Request: 1})
		}
	}
	if retries != allowed {
		t.Errorf("got %d retries within 9500 ms, want %d", retries, allowed)
	}
}

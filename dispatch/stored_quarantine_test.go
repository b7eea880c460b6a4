package dispatch

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against a node that takes the stored quarantine for empty because the store was away at its
// start: the wait for it was counted from the start, and over before the list of upstreams was there, so
// that requests which crash upstreams were sent before the quarantine was read.
func TestStoredQuarantineIsAwaitedFromFirstList(t *testing.T) {
	const storeBack = clock.Millis(2000)
	for _, tt := range []struct {
		name string
		// readAfter is when the quarantine is read, counted from the first list; 0 for never.
		readAfter, want clock.Millis
	}{
		{"read soon after", 120, 120},
		{"not read", 0, maxQuarantineDeferral},
	} {
		m := New(WithStoredQuarantine())
		sentAfter := clock.Never
		update := func(now clock.Millis, msg Msg) {
			for _, cmd := range m.Update(now, msg) {
				if _, ok := cmd.(SendCmd); ok && sentAfter == clock.Never {
					sentAfter = now.Sub(storeBack)
				}
			}
		}
		update(storeBack, CatalogMsg{Catalog: catalog.New(1,
			catalog.WithRoutes(&catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Streaming, Anonymous: true,
				Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, Timeout: 20_000, LatencyTarget: 500}),
			catalog.WithServices(&catalog.Service{Name: "s"}))})
		id := fleet.IncarnationByID("u")
		update(storeBack, FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Address: "u:1"}}}})
		update(storeBack, ArriveMsg{Request: 1, CallerID: "c", Host: "h", Path: "/a", Remaining: 20_000})
		for now := storeBack; now <= storeBack.Add(1000); now += 10 {
			if tt.readAfter > 0 && now == storeBack.Add(tt.readAfter) {
				update(now, QuarantinedMsg{})
			}
			update(now, TickMsg{})
		}
		if sentAfter != tt.want {
			t.Errorf("%s: got the request sent %d ms after the first list, want %d", tt.name, sentAfter, tt.want)
		}
	}
}

package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// benchModel returns a model with engines of one kind that hold eight of 80 layers each, in data
// centres of 33 engines.
func benchModel(engines int, opts ...dispatch.Option) *dispatch.Model {
	m := dispatch.New(append([]dispatch.Option{dispatch.WithDataCentre("dc-0"), dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000})}, opts...)...)
	m.Update(0, dispatch.CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{
			Name: "write", Host: "h", Prefix: "/write/", Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2, EventGapTarget: 250,
			Targets: []catalog.Target{{Service: "writer", Weight: 1}},
		}),
		catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
			Layers: 80, LayerMB: 1000, TokenBytes: 400_000, StepMS: 1,
			Accelerators: map[string]catalog.Accelerator{"k": {Name: "k", MemoryMB: 1e6, StepFactor: 1}},
		}}),
	)})
	var changes []fleet.Change
	for i := range engines {
		from := (i * 8) % 80
		u := fleet.Upstream{
			ID: fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%d", i))), Address: fmt.Sprintf("a%d", i), Service: "writer", Accelerator: "k",
			DataCentre: fmt.Sprintf("dc-%d", i/33), Held: fleet.LayerRange{From: from, To: from + 8},
		}
		changes = append(changes, fleet.Change{ID: u.ID, Upstream: u})
	}
	m.Update(0, dispatch.FleetMsg{Changes: changes})
	return m
}

func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{38, 99, 330, 990} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			m := benchModel(engines)
			id := dispatch.RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				cmds := m.Update(clock.Millis(id/100), dispatch.ArriveMsg{
					Request: id, CallerID: "c", Host: "h", Path: "/write/a", PromptTokens: 700, AnswerTokens: 200,
				})
				if _, ok := cmds[0].(dispatch.SendCmd); !ok {
					b.Fatalf("got %+v, want a SendCmd", cmds[0])
				}
				m.Update(clock.Millis(id/100), dispatch.RequestEndedMsg{Request: id})
			}
		})
	}
}

// fleetSizes are the numbers of upstreams at the first users' sites, and the size expected two
// years later.
var fleetSizes = []int{38, 218, 998, 7100}

// BenchmarkTick measures a tick without events, which runs ten times a second.
func BenchmarkTick(b *testing.B) {
	for _, engines := range fleetSizes {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			m := benchModel(engines)
			for b.Loop() {
				m.Update(1000, dispatch.TickMsg{})
			}
		})
	}
}

// BenchmarkFleetChange measures an engine that changes its layers.
func BenchmarkFleetChange(b *testing.B) {
	for _, engines := range fleetSizes {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			m := benchModel(engines)
			n := 0
			for b.Loop() {
				n++
				u := fleet.Upstream{ID: fleet.IncarnationByID("e1"), Address: "a1", Service: "writer", Accelerator: "k", DataCentre: "dc-0", Held: fleet.LayerRange{From: n % 9, To: n%9 + 8}}
				m.Update(1000, dispatch.FleetMsg{Changes: []fleet.Change{{ID: u.ID, Upstream: u}}})
			}
		})
	}
}

// BenchmarkPeerUsage measures a usage report with the largest number of engines that one node's
// streams use: 24 streams over nine engines.
func BenchmarkPeerUsage(b *testing.B) {
	const reported = 24 * 9
	for _, engines := range fleetSizes {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			m := benchModel(engines)
			used := make(map[fleet.Incarnation]fleet.EngineUsage)
			for i := range min(reported, engines) {
				used[fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%d", i)))] = fleet.EngineUsage{Memory: float64(i)}
			}
			for b.Loop() {
				m.Update(1000, dispatch.UsageMsg{Node: "n", Used: used})
			}
		})
	}
}

// BenchmarkOverFairShare measures the refusal of a request whose account is above its share.
func BenchmarkOverFairShare(b *testing.B) {
	m := benchModel(115)
	accounts := []catalog.Option{catalog.WithRoutes(&catalog.Route{
		Name: "write", Host: "h", Prefix: "/write/", Kind: catalog.Streaming, MaxAttempts: 2, Targets: []catalog.Target{{Service: "writer", Weight: 1}},
	}), catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
		Layers: 80, LayerMB: 1000, TokenBytes: 400_000, StepMS: 1,
		Accelerators: map[string]catalog.Accelerator{"k": {Name: "k", MemoryMB: 1e6, StepFactor: 1}},
	}})}
	var uses []fairshare.AccountUse
	for i := range 24 {
		name := fmt.Sprint("account-", i)
		accounts = append(accounts, catalog.WithAccount(catalog.Account{Name: name}, name))
		uses = append(uses, fairshare.AccountUse{Service: "writer", Account: name, Amount: 1e9 / float64(i+1)})
	}
	m.Update(0, dispatch.CatalogMsg{Catalog: catalog.New(2, accounts...)})
	m.Update(0, dispatch.PeersMsg{TotalNodes: 130, UsagePeers: 129, Aggregated: true})
	used := make(map[fleet.Incarnation]fleet.EngineUsage)
	for i := range 115 {
		used[fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%d", i)))] = fleet.EngineUsage{Memory: 1e9}
	}
	now := clock.Millis(0)
	for ; now < 6000; now += 300 {
		m.Update(now, dispatch.UsageMsg{Node: "hub", Used: used, AllNodes: true, Nodes: 130, Accounts: uses})
		m.Update(now, dispatch.TickMsg{})
	}
	id := dispatch.RequestID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		cmds := m.Update(now, dispatch.ArriveMsg{Request: id, CallerID: "c", Host: "h", Path: "/write/a", Key: "account-0", HasKey: true, PromptTokens: 700, AnswerTokens: 200})
		if r, ok := cmds[0].(dispatch.RespondCmd); !ok || r.Reason != dispatch.ReasonOverFairShare {
			b.Fatalf("got %+v, want a refusal", cmds[0])
		}
	}
}

// BenchmarkWaitForCapacity measures the arrival of a request that must wait behind 64 others, its
// end, and a tenth of a review.
func BenchmarkWaitForCapacity(b *testing.B) {
	m := benchModel(115, dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, MaxWaiting: 100, MaxWaitingBytes: 1 << 20}))
	arrive := func(id dispatch.RequestID) dispatch.ArriveMsg {
		return dispatch.ArriveMsg{Request: id, CallerID: "c", Host: "h", Path: "/write/a", PromptTokens: 1e8}
	}
	const waiting = 64
	for id := range dispatch.RequestID(waiting) {
		m.Update(0, arrive(id))
	}
	if got := m.CapacityWaits().Waiting; got != waiting {
		b.Fatalf("got %d waiting requests, want %d", got, waiting)
	}
	id := dispatch.RequestID(waiting)
	b.ReportAllocs()
	for b.Loop() {
		id++
		m.Update(1, arrive(id))
		m.Update(1, dispatch.RequestEndedMsg{Request: id})
		if id%10 == 0 {
			m.Update(1, dispatch.TickMsg{})
		}
	}
}

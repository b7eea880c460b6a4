package dispatch_test

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/work"
)

// driverPaths are the paths of the driver's routes, and one without a route.
var driverPaths = []string{"/write/a", "/write/a", "/unresumed/a", "/steady/a", "/steady/a", "/feed/a", "/read/a", "/read/a", "/once/a", "/once/a", "/open/a", "/write/a", "/read/a", "/none"}

// driverServices holds the services of the routes.
var driverServices = map[string]string{
	"write": "writer", "unresumed": "writer", "steady": "writer", "feed": "desk", "read": "desk", "once": "desk", "open": "desk",
}

func driverWork(n int) work.ID { return work.ID{}.ForAccount(fmt.Sprint("work", n)) }

// oneIn draws true in less than one of n cases: small numbers are drawn more often.
func oneIn(t *rapid.T, n int, name string) bool { return rapid.IntRange(1, n).Draw(t, name) == n }

// driverPolicy draws the operator's settings: those of the template, or any.
func driverPolicy(t *rapid.T) dispatch.Policy {
	if oneIn(t, 4, "template") {
		return dispatch.Policy{MaxConfigAge: 5000, RetryWindow: driverRetryWindow, RetryShare: 0.2, RetrySlack: 200, MaxForwarded: 128, SpreadCost: dispatch.DefaultSpreadCost}
	}
	return dispatch.Policy{
		MaxConfigAge: clock.Millis(rapid.SampledFrom([]int{0, 0, 5000}).Draw(t, "age")),
		RetryWindow:  driverRetryWindow, RetryShare: rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "share"), RetrySlack: rapid.SampledFrom([]float64{0, 10, 1000}).Draw(t, "slack"),
		QuarantineDuration: clock.Millis(rapid.SampledFrom([]int{0, 1, 500}).Draw(t, "quarantine")), SpreadCost: rapid.SampledFrom([]float64{0, 5}).Draw(t, "spread"),
		MaxWaiting: rapid.SampledFrom([]int{0, 1, 6, 100, 100}).Draw(t, "waiting"), MaxWaitingBytes: rapid.SampledFrom([]int{0, 2000, 1 << 20, 1 << 20}).Draw(t, "bytes"),
		MaxForwarded: rapid.SampledFrom([]int{0, 2, 128, 128}).Draw(t, "forwarded"), DisableAdmission: rapid.Bool().Draw(t, "no admission"),
		AccountPriorities: rapid.Bool().Draw(t, "account priorities"), DisableFairShares: rapid.Bool().Draw(t, "no shares"),
	}
}

// configuration draws the next configuration.
func (d *driver) configuration() dispatch.CatalogMsg {
	d.version++
	millis := func(name string, values ...int) clock.Millis {
		return clock.Millis(rapid.SampledFrom(values).Draw(d.t, name))
	}
	var routes []*catalog.Route
	for _, r := range []catalog.Route{
		{Name: "write", Kind: catalog.Streaming, Resumable: true}, {Name: "unresumed", Kind: catalog.Streaming}, {Name: "steady", Kind: catalog.Streaming, Resumable: true, EventGapTarget: 250},
		{Name: "feed", Kind: catalog.Streaming, Resumable: true}, {Name: "read", Kind: catalog.Repeatable}, {Name: "once"}, {Name: "open", Anonymous: true},
	} {
		if oneIn(d.t, 30, "dropped") {
			continue
		}
		r.Host, r.Prefix, r.Targets = "h", "/"+r.Name+"/", []catalog.Target{{Service: driverServices[r.Name], Weight: 1}}
		r.MaxAttempts, r.Priority = rapid.SampledFrom([]int{0, 1, 2, 2, 9}).Draw(d.t, "attempts"), rapid.IntRange(0, 3).Draw(d.t, "priority")
		r.Timeout, r.LatencyTarget = millis("timeout", 0, 800, 20_000), millis("latency", 0, 100, 500)
		routes = append(routes, &r)
	}
	services := []*catalog.Service{{Name: "desk", HealthPath: "/health"}}
	if !oneIn(d.t, 20, "no writer") {
		services = append(services, d.writer())
	}
	opts := []catalog.Option{catalog.WithRoutes(routes...), catalog.WithServices(services...)}
	for _, name := range []string{"k", "shop", "radio"} {
		if !oneIn(d.t, 10, "revoked") {
			opts = append(opts, catalog.WithAccount(catalog.Account{Name: name, Priority: rapid.IntRange(0, 3).Draw(d.t, "account priority"), HasPriority: rapid.Bool().Draw(d.t, "has priority")}, name))
		}
	}
	return dispatch.CatalogMsg{Catalog: catalog.New(d.version, opts...), ConfirmedAt: d.now}
}

// writer draws the service of engines. The operator may make it a plain one and back.
func (d *driver) writer() *catalog.Service {
	s := &catalog.Service{Name: "writer", HealthPath: "/health"}
	if !oneIn(d.t, 12, "plain") {
		s.Pipeline = &catalog.Pipeline{
			Layers: driverLayers, LayerMB: 1000, TokenBytes: 8_000_000, StepMS: 1, LoadMS: rapid.SampledFrom([]float64{0, 100}).Draw(d.t, "load"), ReadRate: rapid.SampledFrom([]float64{0, 10}).Draw(d.t, "read"),
			Accelerators: map[string]catalog.Accelerator{"fast": {Name: "fast", MemoryMB: 5000, StepFactor: 1, ReadFactor: 1}, "slow": {Name: "slow", MemoryMB: 9000, StepFactor: 10, ReadFactor: 10}},
		}
	}
	return s
}

func driverUpstream(n int) fleet.Incarnation {
	return fleet.IncarnationByID(fleet.ID(fmt.Sprint("u", n)))
}

// driverChange draws a change of an upstream.
func driverChange(t *rapid.T, i int) fleet.Change {
	u := fleet.Upstream{
		ID: driverUpstream(i), Address: fmt.Sprintf("u%d:80", i), Service: "desk", DataCentre: rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "centre"),
		Leaving: oneIn(t, 10, "leaving"), Withheld: oneIn(t, 15, "withheld"), Slots: rapid.SampledFrom([]int{0, 2}).Draw(t, "slots"),
	}
	if i >= 3 {
		u.Service, u.Accelerator = "writer", rapid.SampledFrom([]string{"fast", "fast", "slow"}).Draw(t, "kind")
		u.Held = []fleet.LayerRange{{To: 4}, {From: 4, To: 8}, {To: 8}, {From: 2, To: 8}, {To: 4}}[i-3]
	}
	gone := oneIn(t, 8, "gone")
	return fleet.Change{ID: u.ID, Upstream: u, Gone: gone, Ended: gone && rapid.Bool().Draw(t, "ended")}
}

// change changes what the node knows about upstreams, other nodes or the configuration.
func (d *driver) change() {
	upstream := driverUpstream(rapid.IntRange(0, driverUpstreams-1).Draw(d.t, "upstream"))
	switch rapid.IntRange(0, 13).Draw(d.t, "change") {
	case 0:
		d.update(dispatch.FleetMsg{Changes: []fleet.Change{driverChange(d.t, rapid.IntRange(0, driverUpstreams-1).Draw(d.t, "changed"))}})
	case 1:
		d.update(dispatch.PlacedMsg{Upstream: upstream, Layers: fleet.LayerRange{To: rapid.SampledFrom([]int{4, 8}).Draw(d.t, "layers")}, Completed: rapid.Bool().Draw(d.t, "completed")})
	case 2:
		d.update(dispatch.UsageMsg{Node: "n2", DataCentre: "a", Used: map[fleet.Incarnation]fleet.EngineUsage{upstream: {Memory: float64(rapid.SampledFrom([]int{0, 900, 5000}).Draw(d.t, "used"))}}})
	case 3:
		d.update(d.peers())
	case 4:
		d.update(d.configuration())
	case 5:
		d.update(dispatch.CatalogMsg{ConfirmedAt: d.now})
	case 6:
		d.suspend()
	case 7:
		d.update(dispatch.BackOffMsg{Upstream: upstream, For: clock.Millis(rapid.SampledFrom([]int{50, 1000, 100_000}).Draw(d.t, "back off"))})
	case 8:
		if d.stops && d.stopAt == 0 {
			d.stopAt = d.now.Add(clock.Millis(rapid.SampledFrom([]int{0, 500, 7500}).Draw(d.t, "grace")))
			d.update(dispatch.DrainMsg{LateFrom: d.now.Add(clock.Millis(rapid.IntRange(0, 3000).Draw(d.t, "late from"))), End: d.stopAt})
		}
	case 9:
		d.changeLimits(upstream)
	case 10:
		d.contended = !d.contended
	default:
		d.finding(upstream)
	}
}

// driverContention returns the report of another node that uses all engines for one account.
func driverContention() dispatch.UsageMsg {
	used := make(map[fleet.Incarnation]fleet.EngineUsage)
	for i := range driverUpstreams {
		used[driverUpstream(i)] = fleet.EngineUsage{Memory: 400, Streams: 2}
	}
	return dispatch.UsageMsg{Node: "n2", DataCentre: "a", Used: used, Accounts: []fairshare.AccountUse{{Service: "writer", Account: "shop", Amount: 3000}, {Service: "writer", Account: "k", Amount: 100}}}
}

// changeLimits changes the rate limit of an upstream, or answers a permit request.
func (d *driver) changeLimits(upstream fleet.Incarnation) {
	switch rapid.IntRange(0, 3).Draw(d.t, "limit") {
	case 0:
		d.update(dispatch.AdvertisedLimitMsg{Upstream: upstream, Rate: rapid.SampledFrom([]float64{0.1, 2, 100}).Draw(d.t, "rate")})
	case 1:
		d.update(dispatch.NoAdvertisedLimitMsg{Upstream: upstream, SentAt: d.now})
	default:
		if len(d.permits) == 0 {
			return
		}
		asked := d.permits[0]
		d.permits = d.permits[1:]
		d.update(dispatch.PermitGrantMsg{From: asked.To, Grant: limit.Grant{
			Upstream: asked.PermitRequest.Upstream, Seq: asked.PermitRequest.Seq, Permits: rapid.IntRange(0, 2).Draw(d.t, "permits"), NextIn: 100,
		}})
	}
}

// finding reports what this node or another one has found about an upstream.
func (d *driver) finding(upstream fleet.Incarnation) {
	report := dispatch.Report{FreeMemory: float64(rapid.SampledFrom([]int{0, 4000}).Draw(d.t, "free")), TotalMemory: 5000, Queued: rapid.IntRange(0, 3).Draw(d.t, "queued"), Slowdown: rapid.SampledFrom([]float64{0, 1, 5}).Draw(d.t, "slowdown"), Empty: oneIn(d.t, 10, "empty")}
	answered := rapid.Bool().Draw(d.t, "answers")
	switch rapid.IntRange(0, 8).Draw(d.t, "finding") {
	case 0, 1:
		for _, id := range d.probes {
			d.update(dispatch.ProbedMsg{Upstream: id, Answered: answered, Identified: rapid.Bool().Draw(d.t, "identified"), Report: report})
		}
		d.probes = nil
	case 2:
		d.update(dispatch.ReportMsg{Upstream: upstream, Report: report})
	case 3:
		d.update(dispatch.LateReportMsg{Upstream: upstream, Answered: answered, Report: report})
	case 4:
		if answered {
			d.update(dispatch.PeerResponsiveMsg{Upstream: upstream})
		} else {
			d.update(dispatch.PeerUnresponsiveMsg{Upstream: upstream})
		}
	case 5:
		lost := work.RequestOf(driverWork(rapid.IntRange(0, 9).Draw(d.t, "lost")))
		d.update(dispatch.PeerLossMsg{Request: lost, Upstream: upstream})
	case 6:
		d.update(dispatch.QuarantinedMsg{})
		d.update(dispatch.ConfigComparedMsg{})
	case 7:
		quarantined := dispatch.Quarantined{Work: driverWork(rapid.IntRange(0, 9).Draw(d.t, "lost")).ForAccount("shop")}
		if answered {
			quarantined.Ended = []fleet.Incarnation{upstream}
		}
		d.update(dispatch.QuarantinedMsg{Works: []dispatch.Quarantined{quarantined}})
	case 8:
		for _, id := range d.identifies {
			d.update(dispatch.IdentifiedMsg{Upstream: id, Presence: rapid.SampledFrom([]fleet.Presence{fleet.Present, fleet.Replaced}).Draw(d.t, "presence")})
		}
		d.identifies = nil
	}
}

package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/work"
)

// What the configuration calls the only service, and its host.
const (
	serviceName = "writer"
	host        = "lab"
)

// world is a system that runs. Times before 0 are those before the first request.
type world struct {
	queue
	scenario *Scenario
	variant  Variant
	// Arrivals and troubles are drawn apart, so that all variants meet the same.
	eventRand, arrivalRand, faultRand *rand.Rand

	catalog  *catalog.Catalog
	pipeline *catalog.Pipeline
	engines  []*engine
	// engineAt is who has an address now.
	engineAt map[string]*engine
	nodes    []*node
	// nodeByName are the nodes by their names.
	nodeByName map[string]*node
	list       *engineList
	// activeLoads is how many engines load now.
	activeLoads int
	// quarantined are what the store keeps of requests that end engines.
	quarantined map[work.ID]dispatch.Quarantined
	callers     []*caller
	callerCount int
	// loadFactor is how many times as many requests come.
	loadFactor   float64
	crashFault   crashFault
	attemptTimes attemptTimes
	result       *Result
}

const msPerSecond = 1000

// Seeds of what is drawn, beside the run's own.
const (
	arrivalSeed = 1
	faultSeed   = 2
	worldSeed   = 3
)

// Run plays a scenario.
func Run(s *Scenario, v Variant, seed uint64) *Result {
	w := newWorld(s, v, seed)
	w.now = -s.Load.WarmupMS
	for _, n := range w.nodes {
		n.start()
	}
	w.runUntil(0)
	for _, f := range s.Faults {
		w.scheduleFault(f)
	}
	w.nextArrival()
	w.repeat(tickInterval, w.expireCallers)
	w.resetTraffic()
	w.runUntil(s.Load.DurationMS)
	w.recordTraffic(float64(s.Load.DurationMS) / msPerSecond)
	w.loadFactor = 0
	for _, e := range w.engines {
		e.setLimit(0)
	}
	w.runUntil(s.Load.DurationMS.Add(s.Load.TimeoutMS))
	w.checkGuarantees()
	return w.result
}

func newWorld(s *Scenario, v Variant, seed uint64) *world {
	w := &world{
		scenario: s, variant: v, nodeByName: make(map[string]*node), pipeline: s.Fleet.Pipeline(), engineAt: make(map[string]*engine), quarantined: make(map[work.ID]dispatch.Quarantined), loadFactor: 1,
		eventRand: rand.New(rand.NewPCG(seed, worldSeed)), arrivalRand: rand.New(rand.NewPCG(seed, arrivalSeed)), faultRand: rand.New(rand.NewPCG(seed, faultSeed)),
		result: newResult(s, v, seed),
	}
	w.catalog = newCatalog(s, w.pipeline)
	w.list = &engineList{world: w, entries: make(map[fleet.Incarnation]fleet.Upstream)}
	number := 0
	for _, centre := range s.Fleet.DataCentres() {
		for _, kind := range sortedKeys(w.pipeline.Accelerators) {
			for range s.Fleet.EngineCount(centre, kind) {
				number++
				e := w.newEngine(fmt.Sprintf("e%d", number), fmt.Sprintf("10.0.%d.%d:80", number/250, number%250), centre, w.pipeline.Accelerators[kind])
				w.engines = append(w.engines, e)
				w.list.entries[e.id] = e.listEntry()
				w.list.order = append(w.list.order, e.id)
			}
		}
		for i := range s.Nodes.PerDataCentre {
			n := &node{world: w, name: nodeName(centre, i), dataCentre: centre, rank: len(w.nodes)}
			w.nodes = append(w.nodes, n)
			w.nodeByName[n.name] = n
		}
	}
	return w
}

func newCatalog(s *Scenario, p *catalog.Pipeline) *catalog.Catalog {
	route := func(name string, priority int) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: catalog.Streaming, Resumable: true, Anonymous: true, Priority: priority,
			Targets: []catalog.Target{{Service: serviceName, Weight: 1}}, MaxAttempts: s.Nodes.MaxAttempts,
			Timeout: s.Load.TimeoutMS, LatencyTarget: s.Load.FirstEventTargetMS, EventGapTarget: s.Load.EventGapTargetMS,
		}
	}
	return catalog.New(1, catalog.WithRoutes(route("urgent", 0), route("other", 1)),
		catalog.WithServices(&catalog.Service{Name: serviceName, HealthPath: "/health", Pipeline: p}))
}

func (w *world) retryShare() float64 {
	if w.variant.NoRetries {
		return 0
	}
	return w.scenario.Nodes.RetryShare
}

func (w *world) retrySlack() float64 {
	if w.variant.NoRetries {
		return 0
	}
	return w.scenario.Nodes.RetrySlack
}

// repeat does something again and again, until it says no.
func (w *world) repeat(d clock.Millis, do func() bool) {
	w.after(d, func() {
		if do() {
			w.repeat(d, do)
		}
	})
}

// linkDelay is the time of a pass from one engine to another, in ms.
func (w *world) linkDelay(a, b *engine) float64 {
	switch {
	case a == b:
		return 0
	case a.dataCentre == b.dataCentre:
		return w.scenario.LocalHopMS
	}
	return w.scenario.RemoteHopMS
}

// nextArrival has the next request come, and plans the one after it.
func (w *world) nextArrival() {
	if w.now >= w.scenario.Load.DurationMS || w.loadFactor <= 0 {
		return
	}
	c := w.newCaller()
	w.callers = append(w.callers, c)
	c.sendRequest()
	rate := w.scenario.Load.StreamsPerSecond * w.loadFactor / 1000
	if rate > 0 {
		w.after(clock.Millis(w.arrivalRand.ExpFloat64()/rate), w.nextArrival)
	}
}

func (w *world) newCaller() *caller {
	w.callerCount++
	l := w.scenario.Load
	centres := w.scenario.Fleet.DataCentres()
	size := func(mean int) int { return max(int(float64(mean)*(0.5+w.arrivalRand.Float64())), 1) }
	c := &caller{
		world: w, number: w.callerCount, dataCentre: centres[w.arrivalRand.IntN(len(centres))], workID: work.ID{}.ForAccount(fmt.Sprint(w.callerCount)),
		urgent: w.arrivalRand.Float64() < l.UrgentShare, prompt: size(l.PromptTokens), answerEvents: max(size(l.AnswerTokens)/l.TokensPerEvent, 1), firstSentAt: w.now, deadline: w.now.Add(l.TimeoutMS),
	}
	if w.arrivalRand.Float64() < w.crashFault.share {
		c.crashesEngines, c.workID = true, crashingWork
	}
	return c
}

// expireCallers has callers give up that have waited for too long, and reports that there may be more.
func (w *world) expireCallers() bool {
	w.callers = slices.DeleteFunc(w.callers, func(c *caller) bool { return c.finished })
	for _, c := range w.callers {
		if c.timedOut(w.now) {
			c.abandon()
		}
	}
	return true
}

// pickNode is the node that a caller meets; nil where none is there.
func (w *world) pickNode(centre string, number int) *node {
	var here, all []*node
	for _, n := range w.nodes {
		if !n.running {
			continue
		}
		all = append(all, n)
		if n.dataCentre == centre {
			here = append(here, n)
		}
	}
	if len(here) == 0 {
		here = all
	}
	if len(here) == 0 {
		return nil
	}
	return here[number%len(here)]
}

// limitMembers are all nodes.
func (w *world) limitMembers() []limit.Member {
	list := make([]limit.Member, 0, len(w.nodes))
	for _, n := range w.nodes {
		list = append(list, limit.Member{Name: n.name, DataCentre: n.dataCentre})
	}
	return list
}

// usagePeers is how many others tell a node alone what they have in use.
func (w *world) usagePeers(n *node) int {
	if len(w.nodes) < fullMeshBelow {
		return len(w.nodes) - 1
	}
	near := -1
	for _, o := range w.nodes {
		if o.dataCentre == n.dataCentre {
			near++
		}
	}
	return near
}

// isPlanner tells whether a node is one of those that plan.
func (w *world) isPlanner(n *node) bool {
	if !n.topology.FullMesh {
		return n.topology.IsHub
	}
	before := 0
	for _, o := range w.nodes {
		if o == n {
			return before < maxPlanners
		}
		if o.running {
			before++
		}
	}
	return false
}

// usageSender is the node that tells other data centres what its own has in use.
func (w *world) usageSender(centre string) *node {
	for _, n := range w.nodes {
		if n.running && n.dataCentre == centre {
			return n
		}
	}
	return nil
}

// watchOrder tells all nodes once an order has been carried out, as its giver finds out.
func (w *world) watchOrder(n *node, e *engine, cmd placement.OrderCmd) {
	const every, longest = 300, 12_000
	until := w.now.Add(longest)
	life := n.boot
	w.repeat(every, func() bool {
		switch {
		case !n.running || n.boot != life || !e.running || w.now > until:
			return false
		case e.orderActive || e.held != cmd.Layers:
			return true
		}
		n.announceOrder(cmd, true)
		return false
	})
}

// storeQuarantine keeps a verdict in the store. What is certain is not replaced by what is not.
func (w *world) storeQuarantine(q dispatch.Quarantined) {
	if known, ok := w.quarantined[q.Work]; !ok || len(known.Ended) > 0 {
		w.quarantined[q.Work] = q
	}
}

// storedQuarantines is what the store keeps.
func (w *world) storedQuarantines() []dispatch.Quarantined {
	var list []dispatch.Quarantined
	for _, id := range slices.SortedFunc(mapKeys(w.quarantined), work.ID.Compare) {
		list = append(list, w.quarantined[id])
	}
	return list
}

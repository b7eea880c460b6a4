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

// The name and the host of the only service in the configuration.
const (
	serviceName = "writer"
	host        = "lab"
)

// world is the simulated system. Times before 0 are before the first request.
type world struct {
	queue
	scenario *Scenario
	variant  Variant
	// Arrivals and faults have their own random sources, so that they are the same in all
	// variants.
	eventRand, arrivalRand, faultRand *rand.Rand

	catalog  *catalog.Catalog
	pipeline *catalog.Pipeline
	engines  []*engine
	// engineAt holds the current engine of each address.
	engineAt map[string]*engine
	nodes    []*node
	// nodeByName indexes nodes by their names.
	nodeByName map[string]*node
	list       *engineList
	// favoured describes the node that gets most first tries; nil for none.
	favoured *favouredNode
	// activeLoads is how many engines are loading layers.
	activeLoads int
	// quarantined are the stored quarantine entries.
	quarantined map[work.ID]dispatch.Quarantined
	callers     []*caller
	callerCount int
	// loadFactor multiplies the request rate; 0 stops new requests.
	loadFactor float64
	crashFault *crashFault
	// partFault is the fault of requests that crash engines by a part of their prompts, and partRand
	// draws the parts of all prompts.
	partFault    *crashFault
	partRand     *rand.Rand
	attemptTimes attemptTimes
	result       *Result
}

const msPerSecond = 1000

// Seeds of the random sources, each combined with the seed of the run.
const (
	arrivalSeed = 1
	faultSeed   = 2
	partSeed    = 5
	worldSeed   = 3
)

// Run runs a scenario.
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
		eventRand: rand.New(rand.NewPCG(seed, worldSeed)), arrivalRand: rand.New(rand.NewPCG(seed, arrivalSeed)), faultRand: rand.New(rand.NewPCG(seed, faultSeed)), partRand: rand.New(rand.NewPCG(seed, partSeed)),
		crashFault: &crashFault{maxCrashes: maxCrashes}, partFault: &crashFault{maxCrashes: maxPartCrashes},
		result: newResult(s, v, seed),
	}
	w.catalog = newCatalog(s, w.pipeline)
	w.list = &engineList{world: w, entries: make(map[fleet.Incarnation]fleet.Upstream)}
	number := 0
	for _, dataCentre := range s.Fleet.DataCentres() {
		for _, kind := range sortedKeys(w.pipeline.Accelerators) {
			for range s.Fleet.EngineCount(dataCentre, kind) {
				number++
				e := w.newEngine(fmt.Sprintf("e%d", number), fmt.Sprintf("10.0.%d.%d:80", number/250, number%250), dataCentre, w.pipeline.Accelerators[kind])
				w.engines = append(w.engines, e)
				w.list.entries[e.id] = e.listEntry()
				w.list.order = append(w.list.order, e.id)
			}
		}
		for i := range s.Nodes.PerDataCentre {
			n := &node{world: w, name: nodeName(dataCentre, i), dataCentre: dataCentre, rank: len(w.nodes)}
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

// repeat runs an action at an interval until it returns false.
func (w *world) repeat(interval clock.Millis, action func() bool) {
	w.after(interval, func() {
		if action() {
			w.repeat(interval, action)
		}
	})
}

// linkDelay returns the delay between two engines, in ms.
func (w *world) linkDelay(a, b *engine) float64 {
	switch {
	case a == b:
		return 0
	case a.dataCentre == b.dataCentre:
		return w.scenario.LocalHopMS
	}
	return w.scenario.RemoteHopMS
}

// nextArrival creates a request and schedules the next one.
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
	dataCentres := w.scenario.Fleet.DataCentres()
	size := func(mean int) int { return max(int(float64(mean)*(0.5+w.arrivalRand.Float64())), 1) }
	c := &caller{
		world: w, number: w.callerCount, dataCentre: dataCentres[w.arrivalRand.IntN(len(dataCentres))], workID: work.ID{}.ForAccount(fmt.Sprint(w.callerCount)),
		urgent: w.arrivalRand.Float64() < l.UrgentShare, prompt: size(l.PromptTokens), answerEvents: max(size(l.AnswerTokens)/l.TokensPerEvent, 1), firstSentAt: w.now, deadline: w.now.Add(l.TimeoutMS),
	}
	if w.arrivalRand.Float64() < w.crashFault.share {
		c.crashFault, c.workID = w.crashFault, crashingWork
	}
	w.drawParts(c)
	return c
}

// expireCallers ends the requests of callers that have timed out. It always returns true, so
// that repeat continues.
func (w *world) expireCallers() bool {
	w.callers = slices.DeleteFunc(w.callers, func(c *caller) bool { return c.finished })
	for _, c := range w.callers {
		if c.timedOut(w.now) {
			c.abandon()
		}
	}
	return true
}

// pickNode returns the node for a caller's try: a running node of the data centre if there is
// one, else any running node; nil if no node is running.
func (w *world) pickNode(dataCentre string, number int) *node {
	var local, running []*node
	for _, n := range w.nodes {
		if !n.running {
			continue
		}
		running = append(running, n)
		if n.dataCentre == dataCentre {
			local = append(local, n)
		}
	}
	if len(local) == 0 {
		local = running
	}
	if len(local) == 0 {
		return nil
	}
	return local[number%len(local)]
}

// limitMembers returns all nodes as members of the permit exchange.
func (w *world) limitMembers() []limit.Member {
	list := make([]limit.Member, 0, len(w.nodes))
	for _, n := range w.nodes {
		list = append(list, limit.Member{Name: n.name, DataCentre: n.dataCentre})
	}
	return list
}

// usagePeers returns how many other nodes send their own usage to a node.
func (w *world) usagePeers(n *node) int {
	if len(w.nodes) < fullMeshBelow {
		return len(w.nodes) - 1
	}
	peers := -1
	for _, o := range w.nodes {
		if o.dataCentre == n.dataCentre {
			peers++
		}
	}
	return peers
}

// isPlanner reports whether a node plans placements.
func (w *world) isPlanner(n *node) bool {
	if !n.topology.FullMesh {
		return n.topology.IsHub
	}
	earlier := 0
	for _, o := range w.nodes {
		if o == n {
			return earlier < maxPlanners
		}
		if o.running {
			earlier++
		}
	}
	return false
}

// usageSender returns the node that sends the total usage of a data centre to the others.
func (w *world) usageSender(dataCentre string) *node {
	for _, n := range w.nodes {
		if n.running && n.dataCentre == dataCentre {
			return n
		}
	}
	return nil
}

// watchOrder polls an engine until its order is completed, and then announces this to all
// nodes.
func (w *world) watchOrder(n *node, e *engine, cmd placement.OrderCmd) {
	const interval, timeout = 300, 12_000
	deadline := w.now.Add(timeout)
	boot := n.boot
	w.repeat(interval, func() bool {
		switch {
		case !n.running || n.boot != boot || !e.running || w.now > deadline:
			return false
		case e.orderActive || e.held != cmd.Layers:
			return true
		}
		n.announceOrder(cmd, true)
		return false
	})
}

// storeQuarantine writes a quarantine entry to the store. A suspicion does not replace a
// confirmed entry.
func (w *world) storeQuarantine(q dispatch.Quarantined) {
	if known, ok := w.quarantined[q.Work]; !ok || len(known.Ended) > 0 {
		w.quarantined[q.Work] = q
	}
}

// storedQuarantines returns the stored quarantine entries.
func (w *world) storedQuarantines() []dispatch.Quarantined {
	var list []dispatch.Quarantined
	for _, id := range slices.SortedFunc(mapKeys(w.quarantined), work.ID.Compare) {
		list = append(list, w.quarantined[id])
	}
	return list
}

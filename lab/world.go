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
	random, arrivals, troubles *rand.Rand

	catalog  *catalog.Catalog
	pipeline *catalog.Pipeline
	engines  []*engine
	// at is who has an address now.
	at    map[string]*engine
	nodes []*node
	// byName are the nodes by their names.
	byName map[string]*node
	list   *list
	// loads is how many engines load now.
	loads int
	// verdicts are what the store keeps of requests that end engines.
	verdicts map[work.ID]dispatch.Quarantined
	callers  []*caller
	numbers  int
	// burst is how many times as many requests come.
	burst  float64
	deadly deadly
	spent  spent
	result *Result
}

const msPerSecond = 1000

// Seeds of what is drawn, beside the run's own.
const (
	arrivalSeed = 1
	troubleSeed = 2
	worldSeed   = 3
)

// Run plays a scenario.
func Run(s *Scenario, v Variant, seed uint64) *Result {
	w := newWorld(s, v, seed)
	w.now = -s.Load.SettleMS
	for _, n := range w.nodes {
		n.start()
	}
	w.run(0)
	for _, f := range s.Faults {
		w.begin(f)
	}
	w.come()
	w.every(tickEvery, w.sweep)
	w.countTraffic()
	w.run(s.Load.ForMS)
	w.noteTraffic(float64(s.Load.ForMS) / msPerSecond)
	w.burst = 0
	for _, e := range w.engines {
		e.setLimit(0)
	}
	w.run(s.Load.ForMS.Add(s.Load.PatienceMS))
	w.judge()
	return w.result
}

func newWorld(s *Scenario, v Variant, seed uint64) *world {
	w := &world{
		scenario: s, variant: v, byName: make(map[string]*node), pipeline: s.Fleet.Pipeline(), at: make(map[string]*engine), verdicts: make(map[work.ID]dispatch.Quarantined), burst: 1,
		random: rand.New(rand.NewPCG(seed, worldSeed)), arrivals: rand.New(rand.NewPCG(seed, arrivalSeed)), troubles: rand.New(rand.NewPCG(seed, troubleSeed)),
		result: newResult(s, v, seed),
	}
	w.catalog = newCatalog(s, w.pipeline)
	w.list = &list{world: w, entries: make(map[fleet.Incarnation]fleet.Upstream)}
	number := 0
	for _, centre := range s.Fleet.Centres() {
		for _, kind := range sortedNames(w.pipeline.Accelerators) {
			for range s.Fleet.Count(centre, kind) {
				number++
				e := w.newEngine(fmt.Sprintf("e%d", number), fmt.Sprintf("10.0.%d.%d:80", number/250, number%250), centre, w.pipeline.Accelerators[kind])
				w.engines = append(w.engines, e)
				w.list.entries[e.id] = e.entry()
				w.list.order = append(w.list.order, e.id)
			}
		}
		for i := range s.Nodes.EachCentre {
			n := &node{world: w, name: nodeName(centre, i), centre: centre, rank: len(w.nodes)}
			w.nodes = append(w.nodes, n)
			w.byName[n.name] = n
		}
	}
	return w
}

func newCatalog(s *Scenario, p *catalog.Pipeline) *catalog.Catalog {
	route := func(name string, priority int) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: catalog.Streaming, Resumable: true, Anonymous: true, Priority: priority,
			Targets: []catalog.Target{{Service: serviceName, Weight: 1}}, MaxAttempts: s.Nodes.MostAttempts,
			Timeout: s.Load.PatienceMS, LatencyTarget: s.Load.AimMS, EventGapTarget: s.Load.GapMS,
		}
	}
	return catalog.New(1, catalog.WithRoutes(route("urgent", 0), route("other", 1)),
		catalog.WithServices(&catalog.Service{Name: serviceName, HealthPath: "/health", Pipeline: p}))
}

func (w *world) retryShare() float64 {
	if w.variant.NoRepeats {
		return 0
	}
	return w.scenario.Nodes.RetryShare
}

func (w *world) retrySlack() float64 {
	if w.variant.NoRepeats {
		return 0
	}
	return w.scenario.Nodes.RetrySlack
}

// every does something again and again, until it says no.
func (w *world) every(d clock.Millis, do func() bool) {
	w.after(d, func() {
		if do() {
			w.every(d, do)
		}
	})
}

// between is the time of a pass from one engine to another, in ms.
func (w *world) between(a, b *engine) float64 {
	switch {
	case a == b:
		return 0
	case a.centre == b.centre:
		return w.scenario.HopMS
	}
	return w.scenario.CrossMS
}

// come has the next request come, and plans the one after it.
func (w *world) come() {
	if w.now >= w.scenario.Load.ForMS || w.burst <= 0 {
		return
	}
	c := w.newCaller()
	w.callers = append(w.callers, c)
	c.arrive()
	rate := w.scenario.Load.PerSecond * w.burst / 1000
	if rate > 0 {
		w.after(clock.Millis(w.arrivals.ExpFloat64()/rate), w.come)
	}
}

func (w *world) newCaller() *caller {
	w.numbers++
	l := w.scenario.Load
	centres := w.scenario.Fleet.Centres()
	size := func(mean int) int { return max(int(float64(mean)*(0.5+w.arrivals.Float64())), 1) }
	c := &caller{
		world: w, number: w.numbers, centre: centres[w.arrivals.IntN(len(centres))], asked: work.ID{}.ForAccount(fmt.Sprint(w.numbers)),
		urgent: w.arrivals.Float64() < l.Urgent, prompt: size(l.Prompt), events: max(size(l.Answer)/l.EventTokens, 1), sent: w.now, deadline: w.now.Add(l.PatienceMS),
	}
	if w.arrivals.Float64() < w.deadly.share {
		c.deadly, c.asked = true, deadlyAsked
	}
	return c
}

// sweep has callers give up that have waited for too long, and reports that there may be more.
func (w *world) sweep() bool {
	w.callers = slices.DeleteFunc(w.callers, func(c *caller) bool { return c.over })
	for _, c := range w.callers {
		if c.left(w.now) {
			c.leave()
		}
	}
	return true
}

// nodeFor is the node that a caller meets; nil where none is there.
func (w *world) nodeFor(centre string, number int) *node {
	var here, all []*node
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		all = append(all, n)
		if n.centre == centre {
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

// members are all nodes.
func (w *world) members() []limit.Member {
	list := make([]limit.Member, 0, len(w.nodes))
	for _, n := range w.nodes {
		list = append(list, limit.Member{Name: n.name, DataCentre: n.centre})
	}
	return list
}

// near is how many others tell a node alone what they have in use.
func (w *world) near(n *node) int {
	if len(w.nodes) < nearAll {
		return len(w.nodes) - 1
	}
	near := -1
	for _, o := range w.nodes {
		if o.centre == n.centre {
			near++
		}
	}
	return near
}

// plans tells whether a node is one of those that plan.
func (w *world) plans(n *node) bool {
	if !n.circle.FullMesh {
		return n.circle.IsHub
	}
	before := 0
	for _, o := range w.nodes {
		if o == n {
			return before < planners
		}
		if o.up {
			before++
		}
	}
	return false
}

// reader is the node that tells other data centres what its own has in use.
func (w *world) reader(centre string) *node {
	for _, n := range w.nodes {
		if n.up && n.centre == centre {
			return n
		}
	}
	return nil
}

// watch tells all nodes once an order has been carried out, as its giver finds out.
func (w *world) watch(n *node, e *engine, cmd placement.OrderCmd) {
	const every, longest = 300, 12_000
	until := w.now.Add(longest)
	life := n.life
	w.every(every, func() bool {
		switch {
		case !n.up || n.life != life || !e.up || w.now > until:
			return false
		case e.busy || e.held != cmd.Layers:
			return true
		}
		n.placed(cmd, true)
		return false
	})
}

// keep keeps a verdict in the store. What is certain is not replaced by what is not.
func (w *world) keep(q dispatch.Quarantined) {
	if known, ok := w.verdicts[q.Work]; !ok || len(known.Ended) > 0 {
		w.verdicts[q.Work] = q
	}
}

// kept is what the store keeps.
func (w *world) kept() []dispatch.Quarantined {
	var list []dispatch.Quarantined
	for _, id := range slices.SortedFunc(keysOf(w.verdicts), work.ID.Compare) {
		list = append(list, w.verdicts[id])
	}
	return list
}

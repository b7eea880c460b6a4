package limit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/script"
	"github.com/hoistjunction/hoistjunction/limit"
)

// TestLimitHoldsAcrossNodes simulates many nodes under one limit in virtual time. Nodes receive
// client requests and are cut off from each other, frozen, killed and started; datagrams are
// delayed and lost. The upstream counts the requests that reach it.
//
//	at=T cut share=S for=D       the fraction S of the nodes, from the last, is cut off for D
//	at=T freeze share=S for=D    the fraction S of the nodes, from the owner, is paused for D
//	at=T kill share=S for=D      the same nodes are killed and restarted without state after D
//	at=T roll every=D            all nodes are restarted, one after the other
//	at=T names rate=L            the upstream advertises another limit, or a limit of 0
//	run nodes=N rate=L demand=D how=even|one|moving loss=P most=near|all used=U seeds=K
//
// A run reports the largest window if it exceeds the bound, and the used fraction of the limit
// if it is below U. The bound is 4 L + 2 requests in 4 s with most=near, and 6 L + 5 with
// most=all.
func TestLimitHoldsAcrossNodes(t *testing.T) {
	script.Run(t, "testdata/shared", func(t *testing.T) func(script.Step) []string {
		p := &simScript{}
		return p.step
	})
}

const (
	simDuration clock.Millis = 30_000
	// simWarmUp is the time from which windows are checked. All nodes know the limit from the
	// start.
	simWarmUp         clock.Millis = 4000
	simWindow         clock.Millis = 4000
	tickInterval      clock.Millis = 100
	heartbeatInterval clock.Millis = 300
	// maxFullMesh is up to how many nodes send their usage to all others. In larger systems
	// each node sends it to its data centre, and one node to the other data centres.
	maxFullMesh = 24
	simCentres  = 3
)

var simUpstream = fleet.IncarnationByID("u")

type simScript struct {
	events []simEvent
}

type simEvent struct {
	at, duration, interval clock.Millis
	verb                   string
	share, rate            float64
}

func (p *simScript) step(s script.Step) []string {
	number := func(name string, fallback float64) float64 {
		if v, err := strconv.ParseFloat(s.Params[name], 64); err == nil {
			return v
		}
		return fallback
	}
	if s.Verb != "run" {
		p.events = append(p.events, simEvent{
			at: clock.Millis(s.Int("at", 0)), duration: clock.Millis(s.Int("for", 0)), interval: clock.Millis(s.Int("every", 0)),
			verb: s.Verb, share: number("share", 1), rate: number("rate", 0),
		})
		return nil
	}
	var failures []string
	minUtilization, maxRequests, datagrams := math.Inf(1), 0, 0.0
	for seed := range s.Int("seeds", 1) {
		w := newSim(uint64(seed+1), s.Int("nodes", 2), number("rate", 1), number("demand", 10), s.Params["how"], number("loss", 0))
		w.events, w.strategy = p.events, s.Params["way"]
		w.run()
		maxRequests = max(maxRequests, w.maxInWindow())
		minUtilization = min(minUtilization, w.utilization())
		datagrams = max(datagrams, float64(w.datagrams)/float64(simDuration/1000)/float64(len(w.nodes)))
	}
	rate := number("rate", 1)
	bound := int(4*rate + 2)
	if s.Params["most"] == "all" {
		bound = int(6*rate + 5)
	}
	if maxRequests > bound {
		failures = append(failures, fmt.Sprintf("got %d requests in 4 s, want at most %d", maxRequests, bound))
	}
	if want := number("used", 0); minUtilization < want {
		failures = append(failures, fmt.Sprintf("got %.2f of the limit used, want at least %.2f", minUtilization, want))
	}
	if maxDatagrams := number("datagrams", 0); maxDatagrams > 0 && datagrams > maxDatagrams {
		failures = append(failures, fmt.Sprintf("got %.1f datagrams a second per node, want at most %.1f", datagrams, maxDatagrams))
	}
	if testing.Verbose() {
		fmt.Printf("nodes=%s rate=%s how=%s loss=%s way=%s: %d requests in 4 s (bound %d), %.2f of the limit used, %.1f datagrams a second per node\n",
			s.Params["nodes"], s.Params["rate"], s.Params["how"], s.Params["loss"], s.Params["way"], maxRequests, bound, minUtilization, datagrams)
	}
	return failures
}

// sim is one simulation run.
type sim struct {
	random       *rand.Rand
	now          clock.Millis
	nodes        []*simNode
	queue        simQueue
	events       []simEvent
	rate         float64
	demand       float64
	distribution string
	loss         float64
	// strategy is how the limit is enforced: by permits if empty, or by one of the alternatives
	// in localState.
	strategy  string
	arrivals  []clock.Millis
	demanded  []clock.Millis
	datagrams int
}

type simNode struct {
	sim       *sim
	index     int
	name      string
	limiter   *limit.Limiter
	bootID    uint64
	up        bool
	frozen    bool
	partition int
	pending   []clock.Millis
	inbox     []func()
	local     localState
}

type simItem struct {
	at  clock.Millis
	seq int
	run func()
}

type simQueue struct {
	items []simItem
	seq   int
}

func (q *simQueue) Len() int { return len(q.items) }
func (q *simQueue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (q *simQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *simQueue) Push(x any)    { q.items = append(q.items, x.(simItem)) }
func (q *simQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

func newSim(seed uint64, nodes int, rate, demand float64, distribution string, loss float64) *sim {
	w := &sim{random: rand.New(rand.NewPCG(seed, 1)), rate: rate, demand: demand, distribution: distribution, loss: loss}
	for i := range nodes {
		n := &simNode{sim: w, index: i, name: fmt.Sprintf("n%d", i)}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *sim) schedule(d clock.Millis, run func()) {
	w.queue.seq++
	heap.Push(&w.queue, simItem{at: w.now.Add(d), seq: w.queue.seq, run: run})
}

func (w *sim) run() {
	for _, e := range w.events {
		w.schedule(e.at, func() { w.inject(e) })
	}
	w.schedule(1, w.arrive)
	for w.queue.Len() > 0 {
		item := heap.Pop(&w.queue).(simItem)
		if item.at > simDuration {
			return
		}
		w.now = item.at
		item.run()
	}
}

func (w *sim) members() []limit.Member {
	var list []limit.Member
	for _, n := range w.nodes {
		list = append(list, limit.Member{Name: n.name, DataCentre: n.centre()})
	}
	return list
}

func (n *simNode) centre() string { return fmt.Sprintf("dc%d", n.index%simCentres) }

func (n *simNode) start() {
	n.up = true
	n.bootID = n.sim.random.Uint64()
	n.pending, n.inbox, n.local = nil, nil, localState{refilledAt: n.sim.now}
	n.limiter = limit.New(limit.WithSelf(n.name), limit.WithBootID(n.bootID))
	n.limiter.SetMembers(n.sim.now, n.sim.members())
	if n.sim.rate > 0 {
		n.limiter.SetAdvertised(n.sim.now, simUpstream, n.sim.rate)
	}
	bootID := n.bootID
	n.sim.schedule(clock.Millis(n.sim.random.IntN(int(tickInterval))), func() { n.tick(bootID) })
	n.sim.schedule(clock.Millis(n.sim.random.IntN(int(heartbeatInterval))), func() { n.heartbeat(bootID) })
}

func (n *simNode) tick(bootID uint64) {
	if n.bootID != bootID || !n.up {
		return
	}
	if !n.frozen {
		cmds, _ := n.limiter.Tick(n.sim.now)
		n.send(cmds)
		n.retry()
	}
	n.sim.schedule(tickInterval, func() { n.tick(bootID) })
}

// heartbeat sends the other nodes a message that shows that this node is running.
func (n *simNode) heartbeat(bootID uint64) {
	if n.bootID != bootID || !n.up {
		return
	}
	if !n.frozen {
		for _, o := range n.sim.nodes {
			direct := len(n.sim.nodes) <= maxFullMesh || o.centre() == n.centre()
			switch {
			case direct && o != n:
				demand := n.local.demand
				n.datagram(o, n.sim.strategy == "demand", func() {
					o.limiter.RecordSeen(n.sim.now, n.name)
					o.local.recordPeerDemand(n.name, demand, n.sim.now)
				})
			case n.index < simCentres && !direct:
				n.datagram(o, false, func() { o.limiter.RecordDataCentreSeen(n.sim.now, n.centre()) })
			}
		}
	}
	n.sim.schedule(heartbeatInterval, func() { n.heartbeat(bootID) })
}

// datagram sends a message to another node, which handles it unless the message is lost.
func (n *simNode) datagram(to *simNode, counts bool, take func()) {
	if counts {
		n.sim.datagrams++
	}
	if n.sim.random.Float64() < n.sim.loss {
		return
	}
	n.sim.schedule(clock.Millis(n.sim.random.IntN(3)), func() {
		if !to.up || n.partition != to.partition {
			return
		}
		if to.frozen {
			to.inbox = append(to.inbox, take)
			return
		}
		take()
	})
}

func (n *simNode) send(cmds []limit.PermitRequestCmd) {
	for _, cmd := range cmds {
		to := n.sim.node(cmd.To)
		req := cmd.PermitRequest
		age := n.sim.now.Sub(req.Advertised.ReceivedAt)
		n.datagram(to, true, func() {
			req.Advertised.ReceivedAt = n.sim.now.Sub(age)
			grant, probes := to.limiter.HandleRequest(n.sim.now, n.name, req)
			to.send(probes)
			age := n.sim.now.Sub(grant.Advertised.ReceivedAt)
			to.datagram(n, true, func() {
				grant.Advertised.ReceivedAt = n.sim.now.Sub(age)
				n.limiter.HandleGrant(n.sim.now, to.name, grant)
				n.retry()
			})
		})
	}
}

func (w *sim) node(name string) *simNode {
	i, _ := strconv.Atoi(name[1:])
	return w.nodes[i]
}

// arrive adds one client request and schedules the next.
func (w *sim) arrive() {
	w.demanded = append(w.demanded, w.now)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.distribution {
	case "one":
		n = w.nodes[0]
	case "moving":
		n = w.nodes[int(w.now/700)%len(w.nodes)]
	}
	if n.up && !n.frozen {
		n.local.recordArrival(w.now)
		n.pending = append(n.pending, w.now)
		n.retry()
	}
	w.schedule(max(1, clock.Millis(w.random.ExpFloat64()*1000/w.demand)), w.arrive)
}

// retry sends the pending requests that may be sent. A node does this when its local state
// changes.
func (n *simNode) retry() {
	if n.sim.strategy != "" {
		n.retryLocal()
		return
	}
	for len(n.pending) > 0 {
		now := n.sim.now
		switch n.limiter.State(now, simUpstream) {
		case limit.Unlimited, limit.HasPermit:
			n.limiter.RecordSent(now, simUpstream)
			n.sim.arrivals = append(n.sim.arrivals, now)
			n.pending = n.pending[1:]
		case limit.NeedsPermit:
			n.send(n.limiter.RequestPermits(now, simUpstream, len(n.pending)))
			if n.limiter.State(now, simUpstream) == limit.RequestPending {
				return
			}
		case limit.RequestPending:
			n.pending = slices.DeleteFunc(n.pending, func(at clock.Millis) bool { return now > at.Add(250) })
			return
		case limit.Exhausted:
			n.pending = nil
		}
	}
}

func (w *sim) inject(e simEvent) {
	count := int(math.Ceil(e.share * float64(len(w.nodes))))
	switch e.verb {
	case "names":
		w.rate = e.rate
		for _, n := range w.nodes {
			n.limiter.SetAdvertised(w.now, simUpstream, e.rate)
		}
	case "cut":
		for _, n := range w.nodes[len(w.nodes)-count:] {
			n.partition = 1
			w.schedule(e.duration, func() { n.partition = 0 })
		}
	case "freeze":
		for _, n := range w.candidatesFirst()[:count] {
			n.frozen = true
			w.schedule(e.duration, n.thaw)
		}
	case "kill":
		for _, n := range w.candidatesFirst()[:count] {
			n.kill(e.duration)
		}
	case "roll":
		for i, n := range w.nodes {
			w.schedule(clock.Millis(i)*e.interval, func() { n.kill(500) })
		}
	}
}

// candidatesFirst returns the nodes, with those that may own the upstream before the others.
func (w *sim) candidatesFirst() []*simNode {
	var names []string
	for _, n := range w.nodes {
		names = append(names, n.name)
	}
	var list []*simNode
	for _, name := range limit.Candidates(names, simUpstream) {
		list = append(list, w.node(name))
	}
	for _, n := range w.nodes {
		if !slices.Contains(list, n) {
			list = append(list, n)
		}
	}
	return list
}

func (n *simNode) kill(downtime clock.Millis) {
	n.up = false
	n.bootID = 0
	n.sim.schedule(downtime, n.start)
}

func (n *simNode) thaw() {
	n.frozen = false
	for _, take := range n.inbox {
		take()
	}
	n.inbox = nil
	n.retry()
}

// maxInWindow returns the largest number of requests that reached the upstream in any window.
func (w *sim) maxInWindow() int {
	most := 0
	for i, at := range w.arrivals {
		if at < simWarmUp {
			continue
		}
		n := 0
		for j := i; j >= 0 && w.arrivals[j] > at.Sub(simWindow); j-- {
			n++
		}
		most = max(most, n)
	}
	return most
}

// utilization returns the used fraction of the limit, or of the demand if that is lower.
func (w *sim) utilization() float64 {
	count := func(list []clock.Millis) float64 {
		n := 0
		for _, at := range list {
			if at >= simWarmUp {
				n++
			}
		}
		return float64(n)
	}
	return count(w.arrivals) / min(w.rate*float64(simDuration-simWarmUp)/1000, count(w.demanded))
}

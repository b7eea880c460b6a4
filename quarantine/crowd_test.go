package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// The pattern: requests that end upstreams come to all nodes again and again, among others
// that do not and are under way at the same upstreams; upstreams end for other causes too,
// and come back two seconds later as new runs. Nodes tell each other what they have lost
// and lose some datagrams. Figures: seven nodes, nine upstreams that may begin a stream,
// 62 streams a second, a first event after 60 to 130 ms, four tries a second of each deadly
// request, an end found out within 400 to 560 ms, and 100 to 260 where that is asked for, as on
// the users' smaller deployments.
const (
	clusterNodes       = 7
	clusterUpstreams   = 9
	simDuration        = 30_000
	ordinaryInterval   = 16
	poisonInterval     = 250
	restartDelay       = 2000
	otherCrashInterval = 1500
	datagramLoss       = 0.03
	resendInterval     = 100
	syncWithin         = 700
	maxTries           = 4
	clientRetries      = 1
	tickInterval       = 100
	probedAfter        = 400
	checkedAfter       = 100
	detectionJitter    = 160
)

// cluster is a system of nodes and upstreams.
type cluster struct {
	t      *testing.T
	random *rand.Rand
	now    clock.Millis
	nodes  []*quarantine.Table
	// up are the upstreams that run; the others are down until back.
	up     []fleet.Incarnation
	back   map[clock.Millis][]fleet.Incarnation
	events map[clock.Millis][]func()
	// inFlight are the requests at each upstream that have no event yet.
	inFlight map[fleet.Incarnation][]*attempt
	// refused counts requests that end nothing and were refused as if they did, and served
	// those that were answered.
	refused, served int
	// crashes are the times at which deadly requests have ended upstreams, by work, and late
	// their sendings 3 s after the third.
	crashes      map[work.ID][]clock.Millis
	lateSendings map[work.ID]int
}

type attempt struct {
	node     int
	work     work.ID
	tries    int
	poison   bool
	finished bool
	retry    func()
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), back: make(map[clock.Millis][]fleet.Incarnation),
		events: make(map[clock.Millis][]func()), inFlight: make(map[fleet.Incarnation][]*attempt),
		crashes: make(map[work.ID][]clock.Millis), lateSendings: make(map[work.ID]int),
	}
	for range clusterNodes {
		c.nodes = append(c.nodes, quarantine.New(quarantineDuration))
	}
	for i := range clusterUpstreams {
		c.up = append(c.up, fleet.NewIncarnation(fleet.ID(fmt.Sprint("e", i)), 1))
	}
	return c
}

func (c *cluster) schedule(after int, do func()) {
	at := c.now.Add(clock.Millis(after))
	c.events[at] = append(c.events[at], do)
}

// send sends a request, which is lost if its upstream ends before it has begun to answer.
func (c *cluster) send(node int, w work.ID, deadly bool, tries, repeats int) {
	table := c.nodes[node]
	if _, held := table.Quarantined(c.now, w); held {
		if !deadly {
			c.refused++
		}
		return
	}
	if len(c.up) == 0 {
		return
	}
	to := c.pick(table, w)
	if deadly {
		c.countLateSending(w)
	}
	a := &attempt{node: node, work: w, tries: tries + 1, poison: deadly}
	a.retry = func() { c.retry(a, repeats) }
	c.inFlight[to] = append(c.inFlight[to], a)
	if deadly {
		c.schedule(40+c.random.IntN(80), func() { c.crash(to, w) })
		return
	}
	c.schedule(60+c.random.IntN(70), func() {
		if !a.finished {
			a.finished = true
			c.served++
			c.broadcast(node, table.RequestAnswered(c.now, w, true))
		}
	})
}

// retry repeats a request that was lost: the node does, or else its caller at any node.
func (c *cluster) retry(a *attempt, repeats int) {
	switch {
	case a.tries < maxTries && c.random.IntN(2) == 0:
		c.send(a.node, a.work, a.poison, a.tries, repeats)
	case repeats > 0:
		c.send(c.random.IntN(clusterNodes), a.work, a.poison, 0, repeats-1)
	}
}

// pick picks an upstream: at random, and by a hash for a request under suspicion.
func (c *cluster) pick(table *quarantine.Table, w work.ID) fleet.Incarnation {
	if !table.IsSuspect(w) {
		return c.up[c.random.IntN(len(c.up))]
	}
	return slices.MinFunc(c.up, func(a, b fleet.Incarnation) int {
		return int(hashOf(w, a)>>40) - int(hashOf(w, b)>>40)
	})
}

func hashOf(w work.ID, id fleet.Incarnation) uint64 {
	return xxhash.Sum64String(string(w.Bytes()) + id.String())
}

func (c *cluster) countLateSending(w work.ID) {
	const inTouch = 3000
	if ends := c.crashes[w]; len(ends) >= 3 && c.now > ends[2].Add(inTouch) {
		c.lateSendings[w]++
	}
}

// crash ends an upstream, by a request or, with none, for another cause.
func (c *cluster) crash(id fleet.Incarnation, by work.ID) {
	i := slices.Index(c.up, id)
	if i < 0 {
		return
	}
	c.up = slices.Delete(c.up, i, i+1)
	if !by.IsZero() {
		c.crashes[by] = append(c.crashes[by], c.now)
	}
	next := fleet.NewIncarnation(id.ID(), id.StartedAt()+1)
	c.schedule(restartDelay, func() { c.up = append(c.up, next) })
	lost := c.inFlight[id]
	delete(c.inFlight, id)
	for _, a := range lost {
		if a.finished {
			continue
		}
		a.finished = true
		c.schedule(1+c.random.IntN(20), func() {
			c.broadcast(a.node, c.nodes[a.node].RecordLoss(c.now, a.work, id, quarantine.Unknown, 1500, true))
			c.checkPending(a.node, c.nodes[a.node].Unresolved(a.work))
			a.retry()
		})
	}
	for node := range c.nodes {
		c.schedule(probedAfter+c.random.IntN(detectionJitter), func() { c.broadcast(node, c.nodes[node].SetUpstreamState(c.now, id, quarantine.Unresponsive)) })
		c.schedule(restartDelay, func() { c.broadcast(node, c.nodes[node].SetUpstreamState(c.now, id, quarantine.Ended)) })
	}
}

// checkPending has a node ask upstreams whether they have ended.
func (c *cluster) checkPending(node int, pending []fleet.Incarnation) {
	for _, id := range pending {
		c.schedule(checkedAfter+c.random.IntN(detectionJitter), func() {
			if !slices.Contains(c.up, id) {
				c.broadcast(node, c.nodes[node].SetUpstreamState(c.now, id, quarantine.Unresponsive))
			}
		})
	}
}

// broadcast passes a node's news on to the others.
func (c *cluster) broadcast(from int, news []quarantine.News) {
	for _, n := range news {
		for to := range c.nodes {
			if to == from {
				continue
			}
			delay := 1 + c.random.IntN(30)
			for c.random.Float64() < datagramLoss {
				delay += resendInterval
			}
			c.schedule(delay, func() { c.receive(to, n) })
			if held, ok := n.(quarantine.QuarantinedNews); ok {
				// Peers see that the node knows more than they do, and ask.
				c.schedule(c.random.IntN(syncWithin), func() { c.sync(to, held) })
			}
		}
	}
}

// sync has a node learn of a verdict of which a peer knows: as losses, since it is not
// certain yet.
func (c *cluster) sync(to int, n quarantine.QuarantinedNews) {
	for _, id := range n.Ended {
		c.broadcast(to, c.nodes[to].RecordLoss(c.now, n.Work, id, c.stateOf(id), 5000, false))
	}
	c.broadcast(to, c.nodes[to].AdoptUnconfirmed(c.now, n.Work, n.Ended))
}

func (c *cluster) receive(to int, n quarantine.News) {
	table := c.nodes[to]
	switch n := n.(type) {
	case quarantine.LossNews:
		table.RecordLoss(c.now, n.Work, n.Upstream, c.stateOf(n.Upstream), 5000, false)
	case quarantine.ClearedNews:
		if n.Local {
			table.RequestAnswered(c.now, n.Work, false)
		}
	}
}

func (c *cluster) stateOf(id fleet.Incarnation) quarantine.UpstreamState {
	if slices.Contains(c.up, id) {
		return quarantine.Unknown
	}
	return quarantine.Unresponsive
}

// run runs the system with some deadly requests.
func (c *cluster) run(deadly int) {
	for ; c.now < simDuration; c.now++ {
		for _, do := range c.events[c.now] {
			do()
		}
		delete(c.events, c.now)
		if c.now%tickInterval == 0 {
			for node, table := range c.nodes {
				c.broadcast(node, table.Review(c.now))
			}
		}
		if c.now%ordinaryInterval == 0 {
			c.send(c.random.IntN(clusterNodes), work.ID{}.ForAccount(fmt.Sprint("ordinary", c.now)), false, 0, clientRetries)
		}
		if c.now%otherCrashInterval == otherCrashInterval/2 && len(c.up) > 0 {
			c.crash(c.up[c.random.IntN(len(c.up))], work.ID{})
		}
		for i := range deadly {
			if int(c.now)%poisonInterval == 37*i%poisonInterval {
				c.send(c.random.IntN(clusterNodes), work.ID{}.ForAccount(fmt.Sprint("deadly", i)), true, 0, clientRetries)
			}
		}
	}
}

func TestOthersAreServedBesideDeadlyRequests(t *testing.T) {
	const seeds = 20
	for _, deadly := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("%d deadly", deadly), func(t *testing.T) {
			refused, served, most := 0, 0, 0
			for seed := range uint64(seeds) {
				c := newCluster(t, seed)
				c.run(deadly)
				refused += c.refused
				served += c.served
				for w, ends := range c.crashes {
					most = max(most, len(ends))
					if got, want := c.lateSendings[w], 3; got > want {
						t.Errorf("seed %d: got a deadly request sent %d times late, want %d at the most", seed, got, want)
					}
				}
				if got, want := len(c.crashes), deadly; got != want {
					t.Errorf("seed %d: got %d requests that have ended upstreams, want %d", seed, got, want)
				}
			}
			t.Logf("%d seeds: %d served, %d refused wrongly, %d upstreams ended by one request at the most", seeds, served, refused, most)
			if refused != 0 {
				t.Errorf("got %d requests refused that end nothing, want 0", refused)
			}
		})
	}
}

package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/script"
)

const (
	fullMemory                  = 0.94
	loopStep       clock.Millis = 10
	reportInterval clock.Millis = 300
	reportAge                   = 300
	minStreamTime               = 1000
	streamRange                 = 2000
	meanStreamTime              = minStreamTime + streamRange/2
	retryInterval  clock.Millis = 100
	retryTime      clock.Millis = 5000
	// callerPatience is how long a request waits for space: 2 s less the time of its first event.
	callerPatience clock.Millis = 1700
	settledAt      clock.Millis = 20_000
	loopEnd        clock.Millis = 60_000
)

// loopNode is a node with the times of its next reports.
type loopNode struct {
	admission  *admission.Controller
	shares     *fairshare.Controller
	nextReport clock.Millis
}

// loopRequest is a request of an account, which retries until an end. An admitted one waits for
// space in the engines until its caller leaves.
type loopRequest struct {
	account int
	draw    float64
	end     clock.Millis
	// node is the node at which the request waits, until leaves.
	node   *loopNode
	leaves clock.Millis
}

// loop simulates nodes that share the engines of one service. Each stream uses one unit of the
// capacity. A node observes the use by account as it was a report age before.
type loop struct {
	random   *rand.Rand
	capacity float64
	nodes    []*loopNode
	use      []float64
	history  [][]float64
	ends     map[clock.Millis][]int
	retries  map[clock.Millis][]loopRequest
	retrying int
	now      clock.Millis
	asked    []int
	served   []int
	offered  int
	// meanUse is the mean use after settling, and lowestUse that of the lowest second, of which
	// windowUse is the sum so far.
	meanUse, lowestUse, windowUse float64
}

func newLoop(s script.Step) *loop {
	accounts := s.Int("accounts", 24)
	l := &loop{
		random: rand.New(rand.NewPCG(uint64(s.Int("seed", 1)), 1)), capacity: float64(s.Int("streams", 1600)), use: make([]float64, accounts),
		ends: make(map[clock.Millis][]int), retries: make(map[clock.Millis][]loopRequest), retrying: s.Int("retrying", 0) - 1,
		asked: make([]int, accounts), served: make([]int, accounts), lowestUse: 1,
	}
	for range s.Int("nodes", 130) {
		n := &loopNode{admission: admission.New(), shares: fairshare.New(), nextReport: clock.Millis(l.random.IntN(int(reportInterval)))}
		n.admission.SetPriorities(nil, "writer")
		l.nodes = append(l.nodes, n)
	}
	return l
}

// step advances the time. demand is that of each account, as a part of the capacity.
func (l *loop) step(demand []float64, shares bool) {
	for _, account := range l.ends[l.now] {
		l.use[account]--
	}
	delete(l.ends, l.now)
	l.history = append(l.history, append([]float64(nil), l.use...))
	for _, n := range l.nodes {
		if l.now >= n.nextReport {
			n.nextReport = n.nextReport.Add(reportInterval)
			l.observe(n, shares)
		}
	}
	due := l.retries[l.now]
	delete(l.retries, l.now)
	for _, r := range due {
		l.arrive(r)
	}
	for account, part := range demand {
		mean := part * l.capacity / meanStreamTime * float64(loopStep)
		for t := l.random.ExpFloat64(); t < mean; t += l.random.ExpFloat64() {
			if l.now >= settledAt {
				l.asked[account]++
			}
			l.arrive(loopRequest{account: account, draw: l.random.Float64(), end: l.now.Add(retryTime)})
		}
	}
	l.measure()
	l.now = l.now.Add(loopStep)
}

func (l *loop) measure() {
	if l.now < settledAt {
		return
	}
	use := l.total() / l.capacity
	l.meanUse += use * float64(loopStep) / float64(loopEnd-settledAt)
	l.windowUse += use * float64(loopStep) / 1000
	if (l.now+loopStep)%1000 == 0 {
		l.lowestUse, l.windowUse = min(l.lowestUse, l.windowUse), 0
	}
}

func (l *loop) total() float64 {
	sum := 0.0
	for _, use := range l.use {
		sum += use
	}
	return sum
}

func (l *loop) observe(n *loopNode, shares bool) {
	reported := l.history[max(0, len(l.history)-1-reportAge/int(loopStep))]
	sum, byAccount := 0.0, make(map[string]float64)
	for account, use := range reported {
		sum += use
		if use > 0 {
			byAccount[strconv.Itoa(account)] = use
		}
	}
	n.admission.Observe(l.now, "writer", admission.Load{
		Layers: 1, NewestReport: l.now, OldestReport: l.now,
		Engines: []admission.Engine{{Held: fleet.LayerRange{From: 0, To: 1}, Memory: l.capacity, UsedMemory: sum}},
	})
	if use, ok := n.admission.Contention(l.now, "writer"); ok && shares {
		n.shares.Observe(l.now, "writer", fairshare.Load{Use: use, ByAccount: byAccount, Nodes: len(l.nodes), NewestReport: l.now, OldestReport: l.now})
	} else {
		n.shares.EndContention(l.now, "writer")
	}
}

func (l *loop) arrive(r loopRequest) {
	if l.now >= settledAt {
		l.offered++
	}
	if r.node == nil {
		r.node, r.leaves = l.nodes[l.random.IntN(len(l.nodes))], l.now.Add(callerPatience)
	}
	request := fairshare.Request{Account: strconv.Itoa(r.account), Amount: 1, Draw: r.draw}
	admitted := r.node.shares.Admit(l.now, "writer", request).Admitted
	switch {
	case admitted && l.total()+1 <= fullMemory*l.capacity:
		r.node.shares.RecordSent("writer", request)
	case admitted && l.now < r.leaves:
		l.again(r)
		return
	default:
		r.node = nil
		if r.account == l.retrying && l.now < r.end {
			l.again(r)
		}
		return
	}
	if l.now >= settledAt {
		l.served[r.account]++
	}
	l.use[r.account]++
	end := l.now.Add(clock.Millis(minStreamTime+l.random.IntN(streamRange)) / loopStep * loopStep)
	l.ends[end] = append(l.ends[end], r.account)
}

// again lets a request arrive again after retryInterval.
func (l *loop) again(r loopRequest) {
	at := l.now.Add(retryInterval)
	l.retries[at] = append(l.retries[at], r)
}

// Guards against shares that do not protect small accounts from large ones and from one that retries
// at once, or that leave capacity unused. The reports are 0.3 s old and reach a node 0.3 s apart.
func TestClosedLoop(t *testing.T) {
	script.Run(t, "testdata/loop", func(t *testing.T) func(script.Step) []string {
		return func(s script.Step) []string {
			l := newLoop(s)
			demand := make([]float64, len(l.use))
			for i := range demand {
				demand[i] = number(t, s, "first") / float64(i+1)
			}
			for i := range s.Int("large", 0) {
				demand[i] *= number(t, s, "factor")
			}
			for l.now < loopEnd {
				l.step(demand, s.Params["shares"] != "no")
			}
			small, asked := 0, 0
			for i := s.Int("large", 0); i < len(demand); i++ {
				small, asked = small+l.served[i], asked+l.asked[i]
			}
			got := map[string]float64{
				"small_demand":  float64(asked) * meanStreamTime / float64(loopEnd-settledAt) / l.capacity,
				"offered":       float64(l.offered) * meanStreamTime / float64(loopEnd-settledAt) / l.capacity,
				"small_served":  float64(small) / float64(asked),
				"use":           l.meanUse,
				"lowest_use":    l.lowestUse,
				"largest_share": float64(l.served[0]) * meanStreamTime / float64(loopEnd-settledAt) / l.capacity,
			}
			t.Logf("line %d: %v", s.Line, got)
			for name, text := range s.Params {
				least, isLeast := checked(name, "min_")
				most, isMost := checked(name, "max_")
				bound, _ := strconv.ParseFloat(text, 64)
				if isLeast && got[least] < bound {
					t.Errorf("line %d: got %s %.4f, want at least %v", s.Line, least, got[least], bound)
				}
				if isMost && got[most] > bound {
					t.Errorf("line %d: got %s %.4f, want at most %v", s.Line, most, got[most], bound)
				}
			}
			return nil
		}
	})
}

// checked returns the quantity that a parameter bounds.
func checked(name, prefix string) (string, bool) {
	if len(name) <= len(prefix) || name[:len(prefix)] != prefix {
		return "", false
	}
	return name[len(prefix):], true
}

func number(t *testing.T, s script.Step, name string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(s.Params[name], 64)
	if err != nil {
		t.Fatalf("line %d: %s: %v", s.Line, name, err)
	}
	return v
}

func BenchmarkAdmit(b *testing.B) {
	c := fairshare.New()
	byAccount := make(map[string]float64)
	for i := range 24 {
		byAccount[fmt.Sprint("account-", i)] = 1e6 / float64(i+1)
	}
	for now := clock.Millis(0); now <= 6000; now += 300 {
		c.Observe(now, "writer", fairshare.Load{Use: 0.95, ByAccount: byAccount, NewestReport: now, OldestReport: now})
	}
	b.ReportAllocs()
	for b.Loop() {
		if c.Admit(6000, "writer", fairshare.Request{Account: "account-0", Amount: 1e4, Draw: 0.99}).Admitted {
			b.Fatal("got a request of the largest account admitted, want it held back")
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	c := fairshare.New()
	byAccount := make(map[string]float64)
	for i := range fairshare.MaxReported {
		byAccount[fmt.Sprint("account-", i)] = 1e6 / float64(i+1)
	}
	now := clock.Millis(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 300
		c.Observe(now, "writer", fairshare.Load{Use: 0.95, ByAccount: byAccount, NewestReport: now, OldestReport: now})
	}
}

package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	lendingWindow  = 10_000
	reportInterval = 300
	simStep        = 50
)

// lendingNode is a node of a simulation. Its clock began at startedAt.
type lendingNode struct {
	name      string
	startedAt clock.Millis
	exchange  *budget.Exchange
	budget    *budget.LendingWindow
}

// datagram is a report on its way to a node.
type datagram struct {
	at   clock.Millis
	from string
	to   int
	msg  budget.Report
}

// network connects nodes, directly or through node 0 as a hub. It loses, repeats and delays
// datagrams, and separates the first nodes from the others.
type network struct {
	random    *rand.Rand
	nodes     []*lendingNode
	hub       bool
	slack     float64
	loss      float64
	repeats   float64
	maxDelay  int
	separated int
	inFlight  []datagram
	retries   []clock.Millis
}

func newNetwork(seed uint64, nodes int, hub bool, slack float64) *network {
	w := &network{random: rand.New(rand.NewPCG(seed, 7)), hub: hub, slack: slack, maxDelay: simStep}
	for i := range nodes {
		x := budget.NewExchange(fmt.Sprintf("n%d", i), w.random.Uint64(), seed)
		x.SetPeers(nodes-1, hub && i == 0)
		p := budget.NewLendingWindow(budget.NewWindow(lendingWindow, 0, slack))
		x.Add("s", p)
		w.nodes = append(w.nodes, &lendingNode{name: fmt.Sprintf("n%d", i), startedAt: -clock.Millis(w.random.IntN(100_000)), exchange: x, budget: p})
	}
	return w
}

// send sends a report, which may be lost, repeated or late.
func (w *network) send(now clock.Millis, from, to int, msg budget.Report) {
	if from == to || (from < w.separated) != (to < w.separated) {
		return
	}
	if w.random.Float64() < w.loss {
		return
	}
	for repeated := true; repeated; repeated = w.random.Float64() < w.repeats {
		w.inFlight = append(w.inFlight, datagram{at: now.Add(clock.Millis(w.random.IntN(w.maxDelay))), from: w.nodes[from].name, to: to, msg: msg})
	}
}

// arrived removes the datagrams that have arrived, and returns them in random order.
func (w *network) arrived(now clock.Millis) []datagram {
	w.random.Shuffle(len(w.inFlight), func(i, j int) { w.inFlight[i], w.inFlight[j] = w.inFlight[j], w.inFlight[i] })
	var arrived, late []datagram
	for _, d := range w.inFlight {
		if d.at > now {
			late = append(late, d)
			continue
		}
		arrived = append(arrived, d)
	}
	w.inFlight = late
	return arrived
}

// sendReports sends the reports of a node: to all others, or between the hub and its leaves.
func (w *network) sendReports(now clock.Millis, from int, own, toLeaves budget.Report) {
	for to := range w.nodes {
		switch {
		case !w.hub || from > 0 && to == 0:
			w.send(now, from, to, own)
		case from == 0:
			w.send(now, from, to, toLeaves)
		}
	}
}

// step delivers datagrams, and lets the nodes whose turn it is send reports.
func (w *network) step(now clock.Millis) {
	for _, d := range w.arrived(now) {
		n := w.nodes[d.to]
		n.exchange.Receive(now.Sub(n.startedAt), d.from, d.msg)
	}
	for i, n := range w.nodes {
		if (now+clock.Millis(i)*simStep)%reportInterval != 0 {
			continue
		}
		own, toLeaves := n.exchange.Report(now.Sub(n.startedAt), true)
		w.sendReports(now, i, own, toLeaves)
	}
}

// spend lets a node make up to a number of retries, and returns how many it made.
func (w *network) spend(now clock.Millis, node, wanted int) int {
	n := w.nodes[node]
	made := 0
	for range wanted {
		if !n.budget.TryWithdraw(now.Sub(n.startedAt)) {
			break
		}
		made++
		if w.random.IntN(8) == 0 {
			n.budget.Refund(now.Sub(n.startedAt))
			made--
		}
	}
	for range made {
		w.retries = append(w.retries, now)
	}
	return made
}

// most returns the most retries in any window.
func (w *network) most() int {
	most, first := 0, 0
	for i, at := range w.retries {
		for w.retries[first] <= at-lendingWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against loans that raise the retries of all nodes above the budget: retries that the
// lender uses again before the borrower, that a repeated or late datagram grants twice, or that
// are lent on without end. Some nodes need many retries, others few; datagrams are lost, repeated
// and delayed by up to several seconds, and the network is partitioned at times.
func TestLoansStayWithinBudget(t *testing.T) {
	for _, tt := range []struct {
		nodes int
		hub   bool
		slack float64
	}{{6, false, 9}, {24, false, 4}, {43, true, 4.2}, {100, true, 6}} {
		for seed := range uint64(12) {
			w := newNetwork(seed, tt.nodes, tt.hub, tt.slack)
			period := clock.Millis(14_000 + w.random.IntN(12_000))
			w.loss, w.repeats, w.maxDelay = float64(seed%3)*0.2, float64(seed%2)*0.6, []int{simStep, 300, 1200, 5000}[seed/3]
			for now := clock.Millis(0); now < 60_000; now += simStep {
				if now%3000 == 0 {
					w.separated = max(0, w.random.IntN(2*tt.nodes)-tt.nodes)
				}
				w.step(now)
				for i := range w.nodes {
					// First some nodes borrow what the others do not use, then all need retries.
					needy := now%period > period/2 || i%5 == 1
					if needy && w.random.IntN(2) == 0 {
						w.spend(now, i, 1+w.random.IntN(6))
					}
				}
			}
			if got, want := w.most(), int(tt.slack)*tt.nodes; got > want {
				t.Errorf("%d nodes, hub %v, seed %d: got %d retries in a window, want at most %d", tt.nodes, tt.hub, seed, got, want)
			}
		}
	}
}

// Guards against budgets that lie idle at other nodes. A node with a part of four retries in ten
// seconds lost five streams at once and refused requests, while the other nodes used nothing.
func TestBusyNodeBorrowsFromIdleNodes(t *testing.T) {
	for _, tt := range []struct {
		nodes int
		hub   bool
	}{{2, false}, {12, false}, {43, true}} {
		w := newNetwork(1, tt.nodes, tt.hub, 4.2)
		made := 0
		for now := clock.Millis(0); now < lendingWindow; now += simStep {
			w.step(now)
			if now >= 1000 {
				made += w.spend(now, tt.nodes-1, 2)
			}
		}
		if want := 4 + (tt.nodes-1)*2*3/4; made < want {
			t.Errorf("%d nodes, hub %v: got %d retries at the busy node, want at least %d", tt.nodes, tt.hub, made, want)
		}
	}
}

// Guards against loans that are passed on without end. Their lender counts them as made for two
// lifetimes only.
func TestLoansArePassedOnOnce(t *testing.T) {
	p := budget.NewLendingWindow(budget.NewWindow(lendingWindow, 0, 0))
	p.Borrow(budget.Loan{Retries: 2, Until: 900, LentOn: true})
	p.Borrow(budget.Loan{Retries: 3, Until: 1000})
	if got, want := p.LendOn(500, 9), 3; got != want {
		t.Errorf("got %d retries passed on, want %d", got, want)
	}
	if got, want := p.Available(500), 2; got != want {
		t.Errorf("got %d retries left, want %d", got, want)
	}
}

// Guards against loans that are used after the lender counts the retries as its own again: those
// of an earlier process, and those received while the machine was suspended.
func TestOutdatedLoansAreIgnored(t *testing.T) {
	grant := budget.Grant{Borrower: "a", Service: "s", BootID: 5, AskedAt: 2000, Retries: 1}
	tests := []struct {
		name   string
		change func(g *budget.Grant)
		now    clock.Millis
		want   int
	}{
		{"loan in time", func(*budget.Grant) {}, 2500, 1},
		{"loan after its lifetime", func(*budget.Grant) {}, 2000 + budget.LoanLifetime + 1, 0},
		{"earlier process", func(g *budget.Grant) { g.BootID = 4 }, 2500, 0},
		{"another node", func(g *budget.Grant) { g.Borrower = "b" }, 2500, 0},
		{"request of the future", func(g *budget.Grant) { g.AskedAt = 2600 }, 2500, 0},
		{"request before a suspension", func(g *budget.Grant) { g.AskedAt = 1000 }, 1500, 0},
	}
	for _, tt := range tests {
		x, p := budget.NewExchange("a", 5, 1), budget.NewLendingWindow(budget.NewWindow(lendingWindow, 0, 0))
		x.Add("s", p)
		x.Reset(1000)
		g := grant
		tt.change(&g)
		for range 2 {
			x.Receive(tt.now, "b", budget.Report{Grants: []budget.Grant{g}})
		}
		if got := p.Available(tt.now); got != tt.want {
			t.Errorf("%s: got %d retries, want %d", tt.name, got, tt.want)
		}
	}
}

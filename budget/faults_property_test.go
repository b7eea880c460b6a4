package budget_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
)

// The parts of the slack that dispatch gives a node, later and in the first window of each of its processes.
// A node restarts at most maxRestarts times within a window and the span of a loan.
const (
	laterPart       = 0.45
	firstWindowPart = 0.18
	maxRestarts     = 3
	// firstWindow is how long a process has the part of the first window, and lends nothing.
	firstWindow = lendingWindow + budget.LoanSpan
	// noticeDelay is how long after a suspension its node goes on before it drops its loans. The bound does
	// not cover retries in it, so the test makes none.
	noticeDelay clock.Millis = simStep
)

// faultyNode is the state of a node in a faultyNetwork. Until a time, it is frozen: it handles nothing, and
// what arrives waits for it. A suspended one is frozen, and its clock stands still meanwhile. A starved one
// handles messages and sends reports at few steps.
type faultyNode struct {
	startedAt  clock.Millis
	restarts   []clock.Millis
	frozen     clock.Millis
	suspended  bool
	resumedAt  clock.Millis
	starved    clock.Millis
	waiting    []datagram
	reportedAt clock.Millis
}

// faultyNetwork is a network whose nodes are frozen, suspended, starved of processor time and restarted.
type faultyNetwork struct {
	*network
	total  float64
	states []faultyNode
}

func newFaultyNetwork(seed uint64, nodes int, hub bool, total float64) *faultyNetwork {
	w := &faultyNetwork{network: newNetwork(seed, nodes, hub, total*firstWindowPart/float64(nodes)), total: total, states: make([]faultyNode, nodes)}
	for i := range w.states {
		w.states[i].resumedAt = clock.Never
	}
	return w
}

// drawFaults begins faults at some nodes.
func (w *faultyNetwork) drawFaults(now clock.Millis) {
	for i := range w.states {
		s := &w.states[i]
		if now < s.frozen || w.random.IntN(2000) > 0 {
			continue
		}
		until := now.Add(clock.Millis(200 + w.random.IntN(6000)))
		switch w.random.IntN(4) {
		case 0:
			s.frozen = until
		case 1:
			s.frozen, s.suspended = until.Add(clock.Millis(w.random.IntN(12_000))), true
		case 2:
			s.starved = until
		case 3:
			w.restart(now, i)
		}
	}
}

// restart replaces the process of a node by another one, which knows nothing of it.
func (w *faultyNetwork) restart(now clock.Millis, i int) {
	s, n := &w.states[i], w.nodes[i]
	recent := 0
	for _, at := range s.restarts {
		if now <= at.Add(firstWindow) {
			recent++
		}
	}
	if recent >= maxRestarts {
		return
	}
	s.restarts, s.startedAt, s.waiting = append(s.restarts, now), now, nil
	n.startedAt = now.Sub(clock.Millis(w.random.IntN(100_000)))
	n.exchange = budget.NewExchange(n.name, w.random.Uint64(), w.random.Uint64())
	n.exchange.SetPeers(len(w.nodes)-1, w.hub && i == 0)
	n.budget = budget.NewLendingWindow(budget.NewWindow(lendingWindow, 0, w.slack))
	n.exchange.Add("s", n.budget)
}

// step handles what has arrived at the nodes that run, and lets them send reports.
func (w *faultyNetwork) step(now clock.Millis) {
	for _, d := range w.arrived(now) {
		w.states[d.to].waiting = append(w.states[d.to].waiting, d)
	}
	for i, n := range w.nodes {
		s := &w.states[i]
		if now < s.frozen {
			if s.suspended {
				n.startedAt = n.startedAt.Add(simStep)
			}
			continue
		}
		if s.suspended {
			s.suspended, s.resumedAt = false, now
		}
		local := now.Sub(n.startedAt)
		if s.resumedAt != clock.Never && now >= s.resumedAt.Add(noticeDelay) {
			s.resumedAt = clock.Never
			n.exchange.Reset(local)
		}
		if now < s.starved && w.random.IntN(10) > 0 {
			continue
		}
		if now >= s.startedAt.Add(firstWindow) {
			n.budget.SetLimits(0, w.total*laterPart/float64(len(w.nodes)))
		}
		for _, d := range s.waiting {
			n.exchange.Receive(local, d.from, d.msg)
		}
		s.waiting = nil
		if now >= s.reportedAt.Add(reportInterval) {
			s.reportedAt = now
			own, toLeaves := n.exchange.Report(local, now >= s.startedAt.Add(firstWindow))
			w.sendReports(now, i, own, toLeaves)
		}
	}
}

// allowed returns how many retries the processes of all nodes may have made in the window that ends at a time,
// each its own part: one process a node, and one more for each restart that the window or the span of a
// loan before it contains.
func (w *faultyNetwork) allowed(now clock.Millis) int {
	nodes := float64(len(w.nodes))
	later, first := int(w.total*laterPart/nodes), int(w.total*firstWindowPart/nodes)
	sum := 0
	for i := range w.states {
		sum += later
		for _, at := range w.states[i].restarts {
			if now <= at.Add(firstWindow) {
				sum += first
			}
		}
	}
	return sum
}

// inWindow returns how many retries the window that ends at a time contains.
func (w *faultyNetwork) inWindow(now clock.Millis) int {
	n := 0
	for i := len(w.retries) - 1; i >= 0 && w.retries[i] > now.Sub(lendingWindow); i-- {
		n++
	}
	return n
}

// mayRetry reports whether a node runs at a time, and has noticed its last suspension.
func (w *faultyNetwork) mayRetry(now clock.Millis, i int) bool {
	s := &w.states[i]
	return now >= s.frozen && s.resumedAt == clock.Never && (now >= s.starved || w.random.IntN(10) == 0)
}

// Guards against retries of all nodes beyond their budget in sum, where nodes are frozen, suspended, starved
// of processor time or restarted while loans are on their way, and messages are lost, repeated, late or cut
// off: what a node believes of its part must not depend on its having heard in time.
func TestFaultyNodesStayWithinBudget(t *testing.T) {
	for _, tt := range []struct {
		nodes int
		hub   bool
		total float64
	}{{9, false, 200}, {130, true, 1000}} {
		t.Run(fmt.Sprint(tt.nodes), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				w := newFaultyNetwork(seed, tt.nodes, tt.hub, tt.total)
				w.loss, w.repeats, w.maxDelay = float64(seed%3)*0.2, float64(seed%2)*0.6, []int{simStep, 300, 1200, 5000}[seed%4]
				period := clock.Millis(14_000 + w.random.IntN(12_000))
				for now := clock.Millis(0); now < 90_000; now += simStep {
					if now%3000 == 0 {
						w.separated = max(0, w.random.IntN(2*tt.nodes)-tt.nodes)
					}
					w.drawFaults(now)
					w.step(now)
					for i := range w.nodes {
						needy := now%period > period/2 || i%5 == 1
						if needy && w.mayRetry(now, i) && w.random.IntN(2) == 0 {
							w.spend(now, i, 1+w.random.IntN(6))
						}
					}
					if got, want := w.inWindow(now), w.allowed(now); got > want {
						t.Fatalf("seed %d, %d ms: got %d retries in a window, want at most %d", seed, now, got, want)
					}
				}
				if got, want := w.most(), int(tt.total); got > want {
					t.Errorf("seed %d: got %d retries in a window, want at most %d, the whole budget", seed, got, want)
				}
			}
		})
	}
}

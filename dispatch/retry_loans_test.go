package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/limit"
)

// lendingNodes are nodes that send each other usage reports, some of which are lost or late.
type lendingNodes struct {
	random  *rand.Rand
	nodes   []*retryingNode
	delayed []delayedReport
	boots   uint64
}

type delayedReport struct {
	at  clock.Millis
	to  int
	msg UsageMsg
}

// start starts a process of a node.
func (l *lendingNodes) start(now clock.Millis, i int) {
	l.boots++
	n := newRetryingNode(now, WithLimits(limit.New(limit.WithSelf(nodeName(i)), limit.WithBootID(l.boots))))
	n.model.Update(0, PeersMsg{TotalNodes: retryNodes, UsagePeers: retryNodes - 1})
	l.nodes[i] = n
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// exchange delivers reports that are due, and sends new ones.
func (l *lendingNodes) exchange(now clock.Millis) {
	var late []delayedReport
	for _, d := range l.delayed {
		if d.at > now {
			late = append(late, d)
			continue
		}
		n := l.nodes[d.to]
		n.model.Update(now.Sub(n.startedAt), d.msg)
	}
	l.delayed = late
	for i, n := range l.nodes {
		for _, cmd := range n.model.Update(now.Sub(n.startedAt), TickMsg{}) {
			share, ok := cmd.(ShareUsageCmd)
			for to := 0; ok && to < retryNodes; to++ {
				if to != i && l.random.IntN(8) > 0 {
					at := now.Add(clock.Millis(l.random.IntN(40) * l.random.IntN(40)))
					l.delayed = append(l.delayed, delayedReport{at, to, UsageMsg{Node: nodeName(i), Retries: share.Retries}})
				}
			}
		}
	}
}

// Guards against loans that break the bound when all nodes restart. A node may end just after it
// has lent retries, which its next process does not know, and borrowed retries outlive it. Some
// nodes fail all requests and borrow, then all fail, and all restart three times in a window.
func TestLendingNodesStayWithinRetryBudgetOverRestarts(t *testing.T) {
	borrowed := 0
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 2))
		l := &lendingNodes{random: random, nodes: make([]*retryingNode, retryNodes)}
		for i := range l.nodes {
			l.start(-2*retryWindowMS, i)
		}
		starts := drawRestarts(random)
		failsFrom := starts[0].Sub(clock.Millis(random.IntN(retryWindowMS)))
		var firstAttempts, retries [retrySimDuration]int
		busiest := 0
		for now := clock.Millis(0); now < retrySimDuration; now += requestInterval {
			restarts := len(starts) > 0 && now >= starts[0]
			if restarts {
				starts = starts[1:]
			}
			for i := range l.nodes {
				if restarts {
					l.start(now, i)
				}
			}
			l.exchange(now)
			for i, n := range l.nodes {
				made := n.serve(now, now >= failsFrom || i == 0)
				firstAttempts[now]++
				retries[now] += made
				if i == 0 && now < retryWindowMS {
					busiest += made
				}
			}
		}
		checkRetryWindows(t, seed, firstAttempts[:], retries[:])
		borrowed += busiest
	}
	// Each node has 0.6 of the share and 0.45 of the slack: 64 retries.
	if own := 64 * 10; borrowed < 2*own {
		t.Errorf("got %d retries at the node whose requests fail, want at least %d", borrowed, 2*own)
	}
}

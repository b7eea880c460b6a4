package dispatch

import "github.com/hoistjunction/hoistjunction/budget"

// All nodes together may make a bounded number of retries in a window, but a node does not know
// the retries of earlier processes: a process of the same name may just have spent its whole
// budget, and all nodes may have restarted at once. The budget is therefore split into a part for
// nodes in their first window and a part for nodes that have run for longer. A node earns its
// part of the share with its own requests, so all nodes that start within one window cannot
// exceed the first part. Of the slack, each started node takes a part.
const (
	// laterShare and firstWindowShare are the parts of the share and add up to 1.
	laterShare       = 0.6
	firstWindowShare = 1 - laterShare
	// laterSlack and firstWindowSlack are the parts of the slack. If all nodes restart three
	// times in one window, the parts add up to 0.99.
	laterSlack       = 0.45
	firstWindowSlack = 0.18
)

// budget returns this node's part of a service's retry budget.
func (m *Model) budget(service string) *budget.Window {
	b, ok := m.retryBudgets[service]
	if !ok {
		share, slack := m.retryAllowance()
		b = budget.NewWindow(m.policy.RetryWindow, share, slack, budget.WithDraw(m.retryDraw))
		m.retryBudgets[service] = b
	}
	return b
}

// retryAllowance returns this node's part of the retry share and of the slack. The slack is 0
// until the number of nodes is known, some 10 ms after a start.
func (m *Model) retryAllowance() (share, slack float64) {
	ofShare, ofSlack := laterShare, laterSlack
	if m.now < m.policy.RetryWindow {
		ofShare, ofSlack = firstWindowShare, firstWindowSlack
	}
	if m.nodeCount.total > 0 {
		slack = m.policy.RetrySlack * ofSlack / float64(m.nodeCount.total)
	}
	return m.policy.RetryShare * ofShare, slack
}

// updateRetryBudgets applies the current allowance to all retry budgets.
func (m *Model) updateRetryBudgets() {
	share, slack := m.retryAllowance()
	for _, b := range m.retryBudgets {
		b.SetLimits(share, slack)
	}
}

package dispatch

import "github.com/hoistjunction/hoistjunction/budget"

// The whole system may make so many repeats in a window, and a node does not know what
// nodes of before have made: one of its own name may have spent all that it had until just
// now, and all nodes may have been started anew at once. So what may be spent is split: a
// part for nodes that have run for a window, and a part for those that have not. Of the
// share all nodes that start in one window have together no more than their part, since
// each earns it by requests of its own; of the slack each start takes a part.
const (
	// laterShare and firstWindowShare are the parts of the share, and sum up to all of it.
	laterShare       = 0.6
	firstWindowShare = 1 - laterShare
	// laterSlack and firstWindowSlack are the parts of the slack. With all nodes started anew
	// three times in one window they sum up to 0.99.
	laterSlack       = 0.45
	firstWindowSlack = 0.18
)

// budget returns this node's part of a service's budget of repeats.
func (m *Model) budget(service string) *budget.Window {
	b, ok := m.retryBudgets[service]
	if !ok {
		share, slack := m.retryAllowance()
		b = budget.NewWindow(m.policy.RetryWindow, share, slack, budget.WithDraw(m.retryDraw))
		m.retryBudgets[service] = b
	}
	return b
}

// retryAllowance is this node's part of the share of repeats, and of the slack: none of the
// slack before it knows how many nodes there are, some 10 ms after a start.
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

// updateRetryBudgets sets this node's part of all budgets.
func (m *Model) updateRetryBudgets() {
	share, slack := m.retryAllowance()
	for _, b := range m.retryBudgets {
		b.SetLimits(share, slack)
	}
}

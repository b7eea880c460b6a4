package dispatch

import "github.com/hoistjunction/hoistjunction/budget"

// The whole system may make so many repeats in a window, and a node does not know what
// nodes of before have made: one of its own name may have spent all that it had until just
// now, and all nodes may have been started anew at once. So what may be spent is split: a
// part for nodes that have run for a window, and a part for those that have not. Of the
// share all nodes that start in one window have together no more than their part, since
// each earns it by requests of its own; of the slack each start takes a part.
const (
	// matureShare and youngShare are the parts of the share, and sum up to all of it.
	matureShare = 0.6
	youngShare  = 1 - matureShare
	// matureSlack and youngSlack are the parts of the slack. With all nodes started anew
	// three times in one window they sum up to 0.99.
	matureSlack = 0.45
	youngSlack  = 0.18
)

// budget returns this node's part of a service's budget of repeats.
func (m *Model) budget(service string) *budget.Window {
	b, ok := m.budgets[service]
	if !ok {
		share, slack := m.allowance()
		b = budget.NewWindow(m.policy.RetryWindow, share, slack, budget.WithDraw(m.luck))
		m.budgets[service] = b
	}
	return b
}

// allowance is this node's part of the share of repeats, and of the slack: none of the
// slack before it knows how many nodes there are, some 10 ms after a start.
func (m *Model) allowance() (share, slack float64) {
	ofShare, ofSlack := matureShare, matureSlack
	if m.now < m.policy.RetryWindow {
		ofShare, ofSlack = youngShare, youngSlack
	}
	if m.nodes.all > 0 {
		slack = m.policy.RetrySlack * ofSlack / float64(m.nodes.all)
	}
	return m.policy.RetryShare * ofShare, slack
}

// setBudgets sets this node's part of all budgets.
func (m *Model) setBudgets() {
	share, slack := m.allowance()
	for _, b := range m.budgets {
		b.SetLimits(share, slack)
	}
}

package dispatch

import (
	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/catalog"
)

// All nodes together may make a bounded number of retries in a window, but a node does not know
// the retries of earlier processes: a process of the same name may just have spent its whole
// budget, and all nodes may have restarted at once. The budget is therefore split into a part for
// nodes in their first window and a part for nodes that have run for longer. A node earns its
// part of the share with its own requests, so all nodes that start within one window cannot
// exceed the first part. Of the slack, each started node takes a part. Nodes lend unused retries
// to each other (docs/design/load-retries.md), which leaves the sum of their parts as it is.
const (
	// laterShare and firstWindowShare are the parts of the share and add up to 1.
	laterShare       = 0.6
	firstWindowShare = 1 - laterShare
	// laterSlack and firstWindowSlack are the parts of the slack. If all nodes restart three
	// times in one window, the parts add up to 0.99.
	laterSlack       = 0.45
	firstWindowSlack = 0.18
)

// lessUrgentPart is the part of a node's retries that less urgent requests may use before their
// first event, if the requests of a service differ in priority. The rest is kept for the most
// urgent ones and for streams that have begun, whose answers are lost without a retry.
const lessUrgentPart = 0.5

// budget returns this node's part of a service's retry budget.
func (m *Model) budget(service string) *budget.LendingWindow {
	b, ok := m.retryBudgets[service]
	if !ok {
		share, slack := m.retryAllowance()
		b = budget.NewLendingWindow(budget.NewWindow(m.policy.RetryWindow, share, slack, budget.WithDraw(m.retryDraw)))
		m.retryBudgets[service] = b
		m.retryLoans.Add(service, b)
	}
	return b
}

// takeRetry charges a retry of a request to the budget and reports whether one was available.
func (m *Model) takeRetry(r *request) bool {
	b := m.budget(r.service.Name)
	if most, differ := m.mostUrgent[r.service.Name]; differ && r.priority() > most && !r.answerBegun() {
		return b.TryWithdrawPart(m.now, lessUrgentPart)
	}
	return b.TryWithdraw(m.now)
}

// prepareRetryBudgets creates the budgets of all services, since a node may lend retries of services
// for which it has no requests. It records the most urgent priority of the services whose requests
// differ in it.
func (m *Model) prepareRetryBudgets() {
	m.mostUrgent = make(map[string]int)
	m.catalog.EachService(func(s *catalog.Service) {
		m.budget(s.Name)
		if most, least := m.catalog.Priorities(s.Name); most < least {
			m.mostUrgent[s.Name] = most
		}
	})
}

// inFirstWindow reports whether retries of an earlier process of this name may still count. It may
// have lent some just before its end.
func (m *Model) inFirstWindow() bool { return m.now < m.policy.RetryWindow.Add(budget.LoanSpan) }

// shareRetries adds the requests for retries and the loans of this node to a usage report. A node
// in its first window lends nothing, since its part covers its own restarts alone.
func (m *Model) shareRetries(cmd *ShareUsageCmd) {
	cmd.Retries, cmd.LeafRetries = m.retryLoans.Report(m.now, !m.inFirstWindow())
}

// recordPeerRetries handles the requests for retries and the loans in a usage report. A node that
// receives aggregated usage lends to its hub alone, which lends on to the other nodes.
func (m *Model) recordPeerRetries(msg UsageMsg) {
	retries := msg.Retries
	if msg.WholeDataCentre || m.usageAggregated != msg.AllNodes {
		retries.Asks = nil
	}
	m.retryLoans.Receive(m.now, msg.Node, retries)
}

// retryAllowance returns this node's part of the retry share and of the slack. The slack is 0
// until the number of nodes is known, some 10 ms after a start.
func (m *Model) retryAllowance() (share, slack float64) {
	ofShare, ofSlack := laterShare, laterSlack
	if m.inFirstWindow() {
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

// RetryLoans returns the numbers of retries that this node has borrowed and lent.
func (m *Model) RetryLoans() budget.Counts { return m.retryLoans.Counts() }

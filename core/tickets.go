package core

import (
	"github.com/hoistjunction/hoistjunction/outcome"
)

// maxTickets is how many tickets a caller gets at once at the most.
const maxTickets = 256

// issueTickets issues tickets: keys that only this node will run.
func (m *Model) issueTickets(msg TicketsMsg) {
	a := m.accounts[msg.KeyHash]
	if a == nil {
		m.addCmd(&FinishCmd{Caller: msg.Caller, Outcome: outcome.Failed, Reason: ReasonUnauthorized})
		return
	}
	if m.drain.started {
		m.addCmd(&FinishCmd{Caller: msg.Caller, Outcome: outcome.NotExecuted, Reason: ReasonDraining, RetryAfter: rejectRetryAfter})
		return
	}
	n := min(max(msg.Count, 1), maxTickets)
	tickets := make([]string, 0, n)
	for range n {
		tickets = append(tickets, m.ledger.IssueTicket(a.config.GetName()).String())
	}
	m.addCmd(&TicketsCmd{Caller: msg.Caller, Tickets: tickets})
}

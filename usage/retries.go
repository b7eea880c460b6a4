package usage

import (
	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// maxRetryLoans bounds the requests for retries and the loans in a datagram. A loan takes some 50
// bytes, and a hub of 300 leaves that fail together sends one to each.
const maxRetryLoans = 100

// addRetries adds the requests for retries and the loans of a node to a message.
func addRetries(msg *wire.Usage, retries budget.Report) *wire.Usage {
	for _, a := range retries.Asks[:min(len(retries.Asks), maxRetryLoans)] {
		msg.RetryAsks = append(msg.RetryAsks, &wire.RetryAsk{Service: a.Service, Life: a.BootID, SentMs: int64(a.SentAt), Wanted: uint32(a.Retries)})
	}
	for _, g := range retries.Grants[:min(len(retries.Grants), maxRetryLoans)] {
		msg.RetryLoans = append(msg.RetryLoans, &wire.RetryLoan{
			Borrower: g.Borrower, Service: g.Service, Life: g.BootID, AskedMs: int64(g.AskedAt), Retries: uint32(g.Retries), Relent: g.LentOn,
		})
	}
	return msg
}

// decodeRetries is the reverse of addRetries.
func decodeRetries(msg *wire.Usage) budget.Report {
	var retries budget.Report
	for _, a := range msg.GetRetryAsks() {
		retries.Asks = append(retries.Asks, budget.Ask{Service: a.GetService(), BootID: a.GetLife(), SentAt: clock.Millis(a.GetSentMs()), Retries: int(a.GetWanted())})
	}
	for _, l := range msg.GetRetryLoans() {
		retries.Grants = append(retries.Grants, budget.Grant{
			Borrower: l.GetBorrower(), Service: l.GetService(), BootID: l.GetLife(), AskedAt: clock.Millis(l.GetAskedMs()), Retries: int(l.GetRetries()), LentOn: l.GetRelent(),
		})
	}
	return retries
}

package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Summary describes the shares of one service, for operators.
type Summary struct {
	Service string `json:"service"`
	// Active reports whether requests of accounts above their share are held back now.
	Active bool `json:"active"`
	// Share is the largest fair share, in tokens times layers.
	Share float64 `json:"share"`
	// AgeMillis is the age of the oldest report that is included.
	AgeMillis int64 `json:"age_ms"`
	// Accounts are the accounts with the largest use, the largest first.
	Accounts []AccountSummary `json:"accounts"`
}

// AccountSummary describes an account. The share of one that is not limited is its use if that is less
// than the largest share.
type AccountSummary struct {
	Account string  `json:"account"`
	Use     float64 `json:"use"`
	Share   float64 `json:"share"`
	// Limited reports whether requests of the account are held back.
	Limited bool `json:"limited"`
}

// Summaries returns the shares of the services that are or were recently under contention, in order.
func (c *Controller) Summaries(now clock.Millis) []Summary {
	var list []Summary
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		summary := Summary{Service: name, Active: s.active(now), Share: math.Round(s.share), AgeMillis: int64(clock.AgeOf(s.oldestReport, now))}
		for name, a := range s.accounts {
			summary.Accounts = append(summary.Accounts, AccountSummary{Account: name, Use: math.Round(a.use), Share: math.Round(a.ownShare(s.share)), Limited: a.limited})
		}
		slices.SortFunc(summary.Accounts, func(a, b AccountSummary) int {
			return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Account, b.Account))
		})
		summary.Accounts = summary.Accounts[:min(len(summary.Accounts), c.summaryAccounts)]
		list = append(list, summary)
	}
	return list
}

// ownShare returns the account's share: the largest one, unless the account asks for less.
func (a *account) ownShare(largest float64) float64 {
	if a.limited {
		return largest
	}
	return min(a.use, largest)
}

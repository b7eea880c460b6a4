package fairshare

import (
	"cmp"
	"slices"
)

const (
	// MaxReported bounds the accounts in a report. One takes some 30 bytes, so that a report that
	// also lists 300 engines fits into a datagram.
	MaxReported = 64
	// maxNameBytes bounds the names in a report for the same reason. An account with a longer name
	// is not reported, so that its use is known on each node alone.
	maxNameBytes = 100
	// maxAmount bounds the amount that a report may contain for one account, in tokens times layers.
	// It exceeds the memory of any service.
	maxAmount = 1e12
)

// AccountUse is the capacity of a service that the requests in progress of a client account use, in
// tokens times layers. Requests without an account have an empty one.
type AccountUse struct {
	Service string
	Account string
	Amount  float64
}

// plausible reports whether the values may be true. It is false for NaN.
func (u AccountUse) plausible() bool {
	return u.Amount > 0 && u.Amount <= maxAmount && len(u.Service) <= maxNameBytes && len(u.Account) <= maxNameBytes
}

// Usage is the use by service and account.
type Usage map[string]map[string]float64

// Add adds the use of an account.
func (u Usage) Add(use AccountUse) {
	accounts := u[use.Service]
	if accounts == nil {
		accounts = make(map[string]float64)
		u[use.Service] = accounts
	}
	accounts[use.Account] += use.Amount
}

// AddAll adds the uses of a list.
func (u Usage) AddAll(list []AccountUse) {
	for _, use := range list {
		u.Add(use)
	}
}

// Subtract subtracts the uses of a list. Uses that reach zero are removed.
func (u Usage) Subtract(list []AccountUse) {
	for _, use := range list {
		accounts := u[use.Service]
		if rest := accounts[use.Account] - use.Amount; rest > 0 {
			accounts[use.Account] = rest
		} else {
			delete(accounts, use.Account)
		}
	}
}

// Largest returns the largest uses, the largest first, as reports contain them.
func (u Usage) Largest() []AccountUse {
	var list []AccountUse
	for service, accounts := range u {
		for account, amount := range accounts {
			if use := (AccountUse{Service: service, Account: account, Amount: amount}); use.plausible() {
				list = append(list, use)
			}
		}
	}
	slices.SortFunc(list, func(a, b AccountUse) int {
		return cmp.Or(cmp.Compare(b.Amount, a.Amount), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
	return list[:min(len(list), MaxReported)]
}

// Plausible returns the entries of a received report that may be true, at most MaxReported. An
// account that is listed repeatedly counts once, so that a report cannot exceed the bound on amounts.
func Plausible(report []AccountUse) []AccountUse {
	type name struct{ service, account string }
	seen := make(map[name]bool)
	var list []AccountUse
	for _, use := range report[:min(len(report), MaxReported)] {
		n := name{use.Service, use.Account}
		if use.plausible() && !seen[n] {
			seen[n] = true
			list = append(list, use)
		}
	}
	return list
}

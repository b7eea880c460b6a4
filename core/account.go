package core

import (
	"github.com/hoistjunction/hoistjunction/burn"
	"github.com/hoistjunction/hoistjunction/wire"
)

// account is a client account, with what it has in progress here.
type account struct {
	config     *wire.ClientAccount
	inProgress int
	meters     map[string]*burn.Meter
}

func newAccount(c *wire.ClientAccount) *account {
	return &account{config: c, meters: make(map[string]*burn.Meter)}
}

// meter returns the account's burn meter for a route.
func (a *account) meter(route string) *burn.Meter {
	m := a.meters[route]
	if m == nil {
		m = burn.NewMeter()
		a.meters[route] = m
	}
	return m
}

func (a *account) weight() float64 { return float64(a.config.GetWeight()) }

// overLimit reports whether the account has more in progress than it may. The
// request that asks counts as in progress.
func (a *account) overLimit() bool {
	limit := a.config.GetMaxInFlight()
	return limit > 0 && a.inProgress > int(limit)
}

package usage

import (
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/wire"
)

func encodeAccounts(list []fairshare.AccountUse) []*wire.AccountUse {
	encoded := make([]*wire.AccountUse, 0, len(list))
	for _, u := range list {
		encoded = append(encoded, &wire.AccountUse{Service: u.Service, Account: u.Account, Amount: u.Amount})
	}
	return encoded
}

// decodeAccounts decodes the use by account. Entries that cannot be true are dropped.
func decodeAccounts(encoded []*wire.AccountUse) []fairshare.AccountUse {
	if len(encoded) == 0 {
		return nil
	}
	list := make([]fairshare.AccountUse, 0, min(len(encoded), fairshare.MaxReported))
	for _, u := range encoded[:min(len(encoded), fairshare.MaxReported)] {
		list = append(list, fairshare.AccountUse{Service: u.GetService(), Account: u.GetAccount(), Amount: u.GetAmount()})
	}
	return fairshare.Plausible(list)
}

package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/fairshare"
)

// reportsService reports whether a report contains the use of a service.
func reportsService(accounts []fairshare.AccountUse, service string) bool {
	return slices.ContainsFunc(accounts, func(u fairshare.AccountUse) bool { return u.Service == service })
}

// configured returns the uses of the configured accounts. Those of others are left out: nodes may
// report anything, and an account that was removed gets no share.
func (m *Model) configured(uses []fairshare.AccountUse) []fairshare.AccountUse {
	if !slices.ContainsFunc(uses, m.unconfigured) {
		return uses
	}
	return slices.DeleteFunc(slices.Clone(uses), m.unconfigured)
}

func (m *Model) unconfigured(use fairshare.AccountUse) bool { return !m.accountNames[use.Account] }

// ownAccountUse returns the use by account of this node's requests, for services under contention.
func (m *Model) ownAccountUse() fairshare.Usage {
	own := make(fairshare.Usage)
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if len(r.reservations) == 0 {
			continue
		}
		if _, contended := m.admission.Contention(m.now, r.service.Name); !contended {
			continue
		}
		for _, reserved := range r.reservations {
			own.Add(fairshare.AccountUse{Service: r.service.Name, Account: r.account.Name, Amount: reserved.amount})
		}
	}
	return own
}

// shareAccountUse adds the use by account to a usage report. Nothing is added while no service is
// under contention here, except what other nodes report.
func (m *Model) shareAccountUse(cmd *ShareUsageCmd) {
	m.sharedAccounts = nil
	if !m.fairSharesEnabled() {
		return
	}
	own := m.ownAccountUse()
	m.sharedAccounts = own.Largest()
	cmd.Accounts = m.sharedAccounts
	if m.usageAggregated {
		return
	}
	dataCentre, all := make(fairshare.Usage), make(fairshare.Usage)
	dataCentre.AddAll(m.sharedAccounts)
	all.AddAll(m.sharedAccounts)
	for _, peer := range m.peerReports() {
		accounts := m.configured(peer.accounts)
		all.AddAll(accounts)
		if !peer.wholeDataCentre {
			dataCentre.AddAll(accounts)
		}
	}
	cmd.DataCentreAccounts, cmd.AllAccounts = dataCentre.Largest(), all.Largest()
}

// peerAccounts returns the use by account of other nodes in a usage report. Of a sum over all nodes,
// it is the rest without what this node shared last.
func (m *Model) peerAccounts(msg UsageMsg) []fairshare.AccountUse {
	accounts := fairshare.Plausible(msg.Accounts)
	if !msg.AllNodes || len(accounts) == 0 {
		return accounts
	}
	others := make(fairshare.Usage)
	others.AddAll(accounts)
	others.Subtract(m.sharedAccounts)
	return others.Largest()
}

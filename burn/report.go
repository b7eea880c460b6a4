package burn

import (
	"cmp"
	"slices"
)

// DefaultObjective is the share of requests that must be within the service
// level: the bounds are for 95 in 100.
const DefaultObjective = 0.95

// Row is the burn of one route and client account over all nodes.
type Row struct {
	Route     string  `json:"route"`
	Account   string  `json:"account"`
	Short     Count   `json:"short"`
	Long      Count   `json:"long"`
	ShortRate float64 `json:"short_rate"`
	LongRate  float64 `json:"long_rate"`
	// Left is the share of the long window's error budget that is left. It
	// falls below zero when the budget is overdrawn.
	Left float64 `json:"budget_left"`
}

// Report is the service-level burn, the worst first.
type Report struct {
	Objective float64 `json:"objective"`
	Nodes     int     `json:"nodes"`
	Missing   int     `json:"nodes_missing"`
	Rows      []Row   `json:"rows"`
}

// rowKey names a row.
type rowKey struct {
	route   string
	account string
}

// NewReport sums what nodes have counted. Missing is how many nodes could not
// be read; the report says so, for its figures then lack theirs.
func NewReport(objective float64, missing int, nodes ...[]Line) *Report {
	sums := make(map[rowKey]*Row)
	for _, lines := range nodes {
		for _, l := range lines {
			p := rowKey{l.Route, l.Account}
			if sums[p] == nil {
				sums[p] = &Row{Route: l.Route, Account: l.Account}
			}
			sums[p].Short = sums[p].Short.Add(l.Short)
			sums[p].Long = sums[p].Long.Add(l.Long)
		}
	}
	r := &Report{Objective: objective, Nodes: len(nodes), Missing: missing, Rows: []Row{}}
	for _, row := range sums {
		row.ShortRate = row.Short.Rate(objective)
		row.LongRate = row.Long.Rate(objective)
		row.Left = 1 - row.LongRate
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, compareBurn)
	return r
}

// compareBurn orders by the rate that both windows reach, so that a burst that
// is over does not stand above a fault that lasts.
func compareBurn(a, b Row) int {
	return cmp.Or(
		-cmp.Compare(min(a.ShortRate, a.LongRate), min(b.ShortRate, b.LongRate)),
		-cmp.Compare(a.LongRate, b.LongRate),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Account, b.Account),
	)
}

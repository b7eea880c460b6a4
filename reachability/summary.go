package reachability

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Summary is the evidence about a data centre, for metrics.
type Summary struct {
	DataCentre  string `json:"data_centre"`
	State       string `json:"state"`
	Failed      int    `json:"failed"`
	AnswerAgeMS int64  `json:"answer_age_ms"`
}

// Summaries returns the evidence about all data centres, ordered by name.
func (t *Table) Summaries(now clock.Millis) []Summary {
	list := make([]Summary, 0, len(t.centres))
	for name, c := range t.centres {
		list = append(list, Summary{DataCentre: name, State: c.state.String(), Failed: len(c.failures), AnswerAgeMS: int64(clock.AgeOf(c.answeredAt, now))})
	}
	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

package load

import (
	"time"

	"github.com/hoistjunction/hoistjunction/outcome"
)

// Result is what came of an item, over all its tries.
type Result struct {
	Item    Item
	Due     time.Time
	Ended   time.Time
	Tries   int
	Outcome outcome.Outcome
	Reason  string
	Texts   []string
	Body    []byte
	// First is the time to the first token of the last try, from when the
	// item was due; Gaps are the times between its tokens.
	First   time.Duration
	Gaps    []time.Duration
	Correct bool
	// Cut counts tries that ended without a final word.
	Cut int
}

func (r *Result) add(a Answer, err error, late time.Duration) {
	r.Tries++
	r.Outcome, r.Reason = a.Outcome, a.Reason
	r.Texts, r.Body, r.Gaps = a.Texts, a.Body, a.Gaps
	r.First = late + a.First
	if err != nil {
		r.Outcome, r.Reason = outcome.None, "cut"
		r.Cut++
	}
}

// lateShare is the share of tokens that may come late.
const lateShare = 0.05

// Within reports whether the answer is whole, correct, and within its bounds.
func (r *Result) Within(first, gap time.Duration) bool {
	if !r.Correct || r.First > first {
		return false
	}
	late := 0
	for _, g := range r.Gaps {
		if g > gap {
			late++
		}
	}
	return float64(late) <= lateShare*float64(len(r.Texts))
}

package load

import (
	"time"

	"github.com/hoistjunction/hoistjunction/outcome"
)

// Result is the final result of an item after all attempts.
type Result struct {
	Item      Item
	Scheduled time.Time
	Finished  time.Time
	Tries     int
	Outcome   outcome.Outcome
	Reason    string
	Texts     []string
	Body      []byte
	// FirstToken is the time from Scheduled to the first token of the last attempt.
	// TokenGaps are the times between its tokens.
	FirstToken time.Duration
	TokenGaps  []time.Duration
	Correct    bool
	// Truncated counts attempts that ended without an outcome.
	Truncated int
}

func (r *Result) add(a Response, err error, delay time.Duration) {
	r.Tries++
	r.Outcome, r.Reason = a.Outcome, a.Reason
	r.Texts, r.Body, r.TokenGaps = a.Texts, a.Body, a.TokenGaps
	r.FirstToken = delay + a.FirstToken
	if err != nil {
		r.Outcome, r.Reason = outcome.None, "cut"
		r.Truncated++
	}
}

// maxLateShare bounds the share of tokens whose gap exceeds the bound.
const maxLateShare = 0.05

// MeetsBounds reports whether the response is correct and meets the latency bounds.
func (r *Result) MeetsBounds(first, gap time.Duration) bool {
	if !r.Correct || r.FirstToken > first {
		return false
	}
	late := 0
	for _, g := range r.TokenGaps {
		if g > gap {
			late++
		}
	}
	return float64(late) <= maxLateShare*float64(len(r.Texts))
}

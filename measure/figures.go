package measure

import (
	"time"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// Figures are what a run comes to.
type Figures struct {
	// GoodPerSecond is answers within their bounds a second, of those that arrived.
	GoodPerSecond float64
	// GoodShare is the share of requests that were answered within their bounds.
	GoodShare float64
	// SmallGoodShare is the same share for the small accounts, where there are any.
	SmallGoodShare float64
	// RecoveryTime is the time from the fault until requests that arrive are
	// within their bounds again for good.
	RecoveryTime time.Duration
	// LongestStall is the longest wait within an answer that was given whole.
	LongestStall    time.Duration
	Outcomes        map[string]int
	WrongAnswers    int
	MissingOutcomes int
}

func figures(s Scenario, results []load.Result, start time.Time) *Figures {
	f := &Figures{Outcomes: make(map[string]int)}
	good, small, smallGood := 0, 0, 0
	for i := range results {
		r := &results[i]
		within := r.MeetsBounds(FirstTokenBound, TokenIntervalBound)
		if within {
			good++
		}
		if len(s.Accounts) > 0 && r.Item.Account != s.Accounts[0] {
			small++
			if within {
				smallGood++
			}
		}
		f.count(r)
	}
	f.GoodPerSecond = float64(good) / s.Duration.Seconds()
	f.GoodShare = ratio(good, len(results))
	f.SmallGoodShare = ratio(smallGood, small)
	if s.Fault != nil {
		f.RecoveryTime = recovery(results, start.Add(s.FaultAt))
	}
	return f
}

func (f *Figures) count(r *load.Result) {
	f.Outcomes[r.Outcome.String()]++
	switch {
	case r.Outcome == outcome.None:
		f.MissingOutcomes++
	case r.Outcome == outcome.Done && !r.Correct:
		f.WrongAnswers++
	}
	for _, g := range r.TokenGaps {
		if r.Correct {
			f.LongestStall = max(f.LongestStall, g)
		}
	}
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Recovery is told in windows; one is recovered when this share of what
// arrived in it is within its bounds.
const (
	recoveryWindow = 250 * time.Millisecond
	recoveredShare = 0.9
)

// recovery returns the end of the last window after a fault that is not yet
// recovered, counted from the fault.
func recovery(results []load.Result, fault time.Time) time.Duration {
	total, good := make(map[int]int), make(map[int]int)
	last := 0
	for i := range results {
		r := &results[i]
		if r.Scheduled.Before(fault) {
			continue
		}
		w := int(r.Scheduled.Sub(fault) / recoveryWindow)
		last = max(last, w)
		total[w]++
		if r.MeetsBounds(FirstTokenBound, TokenIntervalBound) {
			good[w]++
		}
	}
	for w := last; w >= 0; w-- {
		if total[w] > 0 && ratio(good[w], total[w]) < recoveredShare {
			return time.Duration(w+1) * recoveryWindow
		}
	}
	return 0
}

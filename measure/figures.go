package measure

import (
	"time"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// Figures are the results of a run.
type Figures struct {
	// GoodPerSecond is the rate of correct, complete responses within the latency
	// bounds.
	GoodPerSecond float64
	// GoodShare is the share of requests with a correct, complete response within the
	// latency bounds.
	GoodShare float64
	// SmallGoodShare is GoodShare for all accounts except the first one of the
	// scenario; zero if the scenario lists no accounts.
	SmallGoodShare float64
	// RecoveryTime is the time from the fault until new requests meet the latency
	// bounds for the rest of the run; zero without a fault.
	RecoveryTime time.Duration
	// LongestStall is the longest pause within a correct response.
	LongestStall time.Duration
	Outcomes     map[string]int
	// WrongAnswers counts responses with incorrect content, and MissingOutcomes
	// requests without an outcome.
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

// Recovery is measured in windows. A window counts as recovered if at least
// recoveredShare of the requests that arrive in it meet the latency bounds.
const (
	recoveryWindow = 250 * time.Millisecond
	recoveredShare = 0.9
)

// recovery returns the time from the fault to the end of the last window that is
// not recovered.
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

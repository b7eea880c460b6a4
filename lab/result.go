package lab

import (
	"maps"
	"slices"
)

// Outcome is what became of a request.
type Outcome int

// The outcomes.
const (
	// InTime: served whole within its aims, counted from its first try.
	InTime Outcome = iota
	// Late: served whole.
	Late
	// Refused: not served, and not run.
	Refused
	// Failed: not served; it may have run.
	Failed
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"in time", "late", "refused", "failed"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is what came of a run. Requests that end engines are counted apart.
type Result struct {
	Scenario *Scenario
	Variant  Variant
	Seed     uint64
	// BySecond count outcomes by the second of the first try.
	BySecond [][outcomeCount]int
	Total    [outcomeCount]int
	// Causes counts why requests were not served.
	Causes map[string]int
	// ClientAttempts counts requests at nodes, Sends attempts at engines, Repeats those that reached
	// one again, RefusedRetries returns that were refused, ArrivalsInBackOff arrivals in a rest.
	ClientAttempts, EngineAttempts, RepeatedArrivals, RefusedRetries, ArrivalsInBackOff, Migrations, PlacementOrders, Probes, EngineCrashes, RequestCrashes int
	// PermitDatagrams counts what nodes tell each other of permits, and PeakLimitRatio is the
	// most that an engine got in a window over what its limit allows in it.
	PermitDatagrams int
	PeakLimitRatio  float64
	// Received and Sent are what nodes tell each other while there is load.
	Received, Sent Traffic
	// limitAllowed and limitUsed are requests, over all limits.
	limitAllowed, limitUsed float64
	// Violations are the promises that were broken, each with what it was first.
	Violations map[string]string
}

func newResult(s *Scenario, v Variant, seed uint64) *Result {
	return &Result{
		Scenario: s, Variant: v, Seed: seed, Causes: make(map[string]int), Violations: make(map[string]string),
		BySecond: make([][outcomeCount]int, s.Load.DurationMS/1000+1),
	}
}

func (r *Result) add(c *caller, o Outcome, why string) {
	if c.crashesEngines {
		return
	}
	r.Total[o]++
	r.BySecond[min(int(c.firstSentAt/1000), len(r.BySecond)-1)][o]++
	if why != "" {
		r.Causes[why]++
	}
}

func (r *Result) violate(promise, what string) {
	if _, known := r.Violations[promise]; !known {
		r.Violations[promise] = what
	}
}

// RequestCount is how many requests ended.
func (r *Result) RequestCount() int { return sum(r.Total) }

func sum(counts [outcomeCount]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// lateCredit is what a late answer is worth of one in time, as on the users' smaller sites.
const lateCredit = 0.5

func credit(counts [outcomeCount]int) float64 {
	n := sum(counts)
	if n == 0 {
		return 1
	}
	return (float64(counts[InTime]) + lateCredit*float64(counts[Late])) / float64(n)
}

// ServedShare is the part of the requests that were served, also late.
func (r *Result) ServedShare() float64 {
	return float64(r.Total[InTime]+r.Total[Late]) / float64(max(r.RequestCount(), 1))
}

// Credit is the part of the worth that was earned: half of it for a late answer.
func (r *Result) Credit() float64 { return credit(r.Total) }

// worstWindowSeconds is the length of a worst window, in seconds.
const worstWindowSeconds = 5

// WorstWindow is the credit of the worst window of five seconds.
func (r *Result) WorstWindow() float64 {
	worst := 1.0
	for from := 0; from+worstWindowSeconds <= len(r.BySecond); from++ {
		var window [outcomeCount]int
		for _, s := range r.BySecond[from : from+worstWindowSeconds] {
			for o := range window {
				window[o] += s[o]
			}
		}
		worst = min(worst, credit(window))
	}
	return worst
}

// Figures are what experiments compare, by name.
func (r *Result) Figures() map[string]float64 {
	n := float64(max(r.RequestCount(), 1))
	return map[string]float64{
		"credit": r.Credit(), "worst 5 s": r.WorstWindow(), "served": r.ServedShare(),
		"refused": float64(r.Total[Refused]) / n, "failed": float64(r.Total[Failed]) / n,
		"refused again": float64(r.RefusedRetries) / n, "repeats": float64(r.RepeatedArrivals) / n, "in a rest": float64(r.ArrivalsInBackOff),
		"most of a limit": r.PeakLimitRatio, "used of limits": r.LimitUtilization(),
	}
}

// FigureNames are the names of the figures in the order in which they are shown.
var FigureNames = []string{"credit", "worst 5 s", "served", "refused", "failed", "refused again", "repeats", "in a rest", "most of a limit", "used of limits"}

// TopCauses returns the most frequent causes, at most a number of them.
func (r *Result) TopCauses(most int) []string {
	causes := slices.SortedFunc(maps.Keys(r.Causes), func(a, b string) int {
		if r.Causes[a] != r.Causes[b] {
			return r.Causes[b] - r.Causes[a]
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	return causes[:min(most, len(causes))]
}

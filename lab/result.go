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
	outcomes
)

var outcomeNames = [outcomes]string{"in time", "late", "refused", "failed"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is what came of a run. Requests that end engines are counted apart.
type Result struct {
	Scenario *Scenario
	Variant  Variant
	Seed     uint64
	// Seconds count outcomes by the second of the first try.
	Seconds [][outcomes]int
	Total   [outcomes]int
	// Why counts why requests were not served.
	Why map[string]int
	// Tries counts requests at nodes, Sends attempts at engines, Repeats those that reached
	// one again, RefusedAgain returns that were refused, InRest arrivals in a rest.
	Tries, Sends, Repeats, RefusedAgain, InRest, Moves, Orders, Probes, Ended, DeadlyEnds int
	// PermitDatagrams counts what nodes tell each other of permits, and MostOfLimit is the
	// most that an engine got in a window over what its limit allows in it.
	PermitDatagrams int
	MostOfLimit     float64
	// Heard and Sent are what nodes tell each other while there is load.
	Heard, Sent Traffic
	// limitAllowed and limitUsed are requests, over all limits.
	limitAllowed, limitUsed float64
	// Broken are the promises that were broken, each with what it was first.
	Broken map[string]string
}

func newResult(s *Scenario, v Variant, seed uint64) *Result {
	return &Result{
		Scenario: s, Variant: v, Seed: seed, Why: make(map[string]int), Broken: make(map[string]string),
		Seconds: make([][outcomes]int, s.Load.ForMS/1000+1),
	}
}

func (r *Result) add(c *caller, o Outcome, why string) {
	if c.deadly {
		return
	}
	r.Total[o]++
	r.Seconds[min(int(c.sent/1000), len(r.Seconds)-1)][o]++
	if why != "" {
		r.Why[why]++
	}
}

func (r *Result) breach(promise, what string) {
	if _, known := r.Broken[promise]; !known {
		r.Broken[promise] = what
	}
}

// Count is how many requests ended.
func (r *Result) Count() int { return sum(r.Total) }

func sum(counts [outcomes]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// lateWorth is what a late answer is worth of one in time, as on the users' smaller sites.
const lateWorth = 0.5

func credit(counts [outcomes]int) float64 {
	n := sum(counts)
	if n == 0 {
		return 1
	}
	return (float64(counts[InTime]) + lateWorth*float64(counts[Late])) / float64(n)
}

// Served is the part of the requests that were served, also late.
func (r *Result) Served() float64 {
	return float64(r.Total[InTime]+r.Total[Late]) / float64(max(r.Count(), 1))
}

// Credit is the part of the worth that was earned: half of it for a late answer.
func (r *Result) Credit() float64 { return credit(r.Total) }

// worstSpan is the length of a worst window, in seconds.
const worstSpan = 5

// Worst is the credit of the worst window of five seconds.
func (r *Result) Worst() float64 {
	worst := 1.0
	for from := 0; from+worstSpan <= len(r.Seconds); from++ {
		var window [outcomes]int
		for _, s := range r.Seconds[from : from+worstSpan] {
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
	n := float64(max(r.Count(), 1))
	return map[string]float64{
		"credit": r.Credit(), "worst 5 s": r.Worst(), "served": r.Served(),
		"refused": float64(r.Total[Refused]) / n, "failed": float64(r.Total[Failed]) / n,
		"refused again": float64(r.RefusedAgain) / n, "repeats": float64(r.Repeats) / n, "in a rest": float64(r.InRest),
		"most of a limit": r.MostOfLimit, "used of limits": r.LimitUsed(),
	}
}

// FigureNames are the names of the figures in the order in which they are shown.
var FigureNames = []string{"credit", "worst 5 s", "served", "refused", "failed", "refused again", "repeats", "in a rest", "most of a limit", "used of limits"}

// Largest returns the most frequent causes, at most a number of them.
func (r *Result) Largest(most int) []string {
	causes := slices.SortedFunc(maps.Keys(r.Why), func(a, b string) int {
		if r.Why[a] != r.Why[b] {
			return r.Why[b] - r.Why[a]
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	return causes[:min(most, len(causes))]
}

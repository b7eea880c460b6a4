package lab

import (
	"maps"
	"slices"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes, from best to worst.
const (
	// InTime means that the complete answer met the latency targets, counted from the first
	// try.
	InTime Outcome = iota
	// Late means that the complete answer missed a latency target.
	Late
	// Refused means that the request was not served and not executed.
	Refused
	// Failed means that the request was not served and may have been executed.
	Failed
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"in time", "late", "refused", "failed"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result holds the measurements of a run. Requests that crash engines are not part of the
// outcomes.
type Result struct {
	Scenario *Scenario
	Variant  Variant
	Seed     uint64
	// BySecond counts outcomes by the second of the first try.
	BySecond [][outcomeCount]int
	Total    [outcomeCount]int
	// Urgent counts the outcomes of requests with the first priority, which are part of Total.
	Urgent [outcomeCount]int
	// Causes counts the causes for which requests were not served.
	Causes map[string]int
	// ClientAttempts counts requests at nodes, EngineAttempts attempts sent to engines,
	// RepeatedArrivals arrivals at an engine after the first, RefusedRetries refused client
	// retries, and ArrivalsInBackOff arrivals at an engine during its back-off.
	ClientAttempts, EngineAttempts, RepeatedArrivals, RefusedRetries, ArrivalsInBackOff, Migrations, PlacementOrders, Probes, EngineCrashes, RequestCrashes int
	// PermitDatagrams counts the datagrams about permits between nodes. PeakLimitRatio is the
	// maximum ratio of requests in a window to those that the engine's limit allows in it.
	PermitDatagrams int
	PeakLimitRatio  float64
	// Received and Sent are the rates of datagrams between nodes while there is load.
	Received, Sent Traffic
	// limitAllowed and limitUsed count allowed and received requests over all limits.
	limitAllowed, limitUsed float64
	// CutTries counts the first tries at nodes that were cut from all engines, and CutServed those
	// that were served. Forwards counts the requests that nodes passed on to each other.
	CutTries, CutServed, Forwards int
	// FavouredRead counts the first tries that a favoured node has read, and FavouredServed those that
	// were served, both from favouredGrace on.
	FavouredRead, FavouredServed int
	// LeftUnread counts the connections that nodes closed unread.
	LeftUnread int
	// Violations are the violated guarantees by name, each with a description of its first
	// violation.
	Violations map[string]string
}

func newResult(s *Scenario, v Variant, seed uint64) *Result {
	return &Result{
		Scenario: s, Variant: v, Seed: seed, Causes: make(map[string]int), Violations: make(map[string]string),
		BySecond: make([][outcomeCount]int, s.Load.DurationMS/1000+1),
	}
}

func (r *Result) add(c *caller, o Outcome, cause string) {
	if c.crashFault != nil {
		return
	}
	r.Total[o]++
	if c.firstAtCutNode {
		r.CutTries++
		if c.tries == 1 && (o == InTime || o == Late) {
			r.CutServed++
		}
	}
	if c.firstAtFavoured {
		r.FavouredRead++
		if c.tries == 1 && (o == InTime || o == Late) {
			r.FavouredServed++
		}
	}
	if c.urgent {
		r.Urgent[o]++
	}
	r.BySecond[min(int(c.firstSentAt/1000), len(r.BySecond)-1)][o]++
	if cause != "" {
		r.Causes[cause]++
	}
}

func (r *Result) violate(guarantee, description string) {
	if _, known := r.Violations[guarantee]; !known {
		r.Violations[guarantee] = description
	}
}

// RequestCount returns the number of requests that have ended.
func (r *Result) RequestCount() int { return sum(r.Total) }

func sum(counts [outcomeCount]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// lateCredit is the credit for a late answer, compared to 1 for one in time. The users' smaller
// sites weigh late answers in the same way.
const lateCredit = 0.5

func credit(counts [outcomeCount]int) float64 {
	n := sum(counts)
	if n == 0 {
		return 1
	}
	return (float64(counts[InTime]) + lateCredit*float64(counts[Late])) / float64(n)
}

// ServedShare returns the share of requests that were served, in time or late.
func (r *Result) ServedShare() float64 {
	return float64(r.Total[InTime]+r.Total[Late]) / float64(max(r.RequestCount(), 1))
}

// Credit returns the mean credit of a request: 1 in time, half of that late, 0 if not served.
func (r *Result) Credit() float64 { return credit(r.Total) }

// UrgentCredit returns the mean credit of the requests with the first priority, and OtherCredit that
// of the others.
func (r *Result) UrgentCredit() float64 { return credit(r.Urgent) }

// OtherCredit returns the mean credit of the requests with the second priority.
func (r *Result) OtherCredit() float64 {
	others := r.Total
	for o, n := range r.Urgent {
		others[o] -= n
	}
	return credit(others)
}

// worstWindowSeconds is the length of the window in WorstWindow.
const worstWindowSeconds = 5

// WorstWindow returns the lowest credit of any window of five seconds.
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

// Figures returns the figures that experiments compare, by name.
func (r *Result) Figures() map[string]float64 {
	n := float64(max(r.RequestCount(), 1))
	return map[string]float64{
		"credit": r.Credit(), "urgent credit": r.UrgentCredit(), "other credit": r.OtherCredit(), "worst 5 s": r.WorstWindow(), "served": r.ServedShare(),
		"refused": float64(r.Total[Refused]) / n, "failed": float64(r.Total[Failed]) / n,
		"refused again": float64(r.RefusedRetries) / n, "repeats": float64(r.RepeatedArrivals) / n, "in a rest": float64(r.ArrivalsInBackOff),
		"most of a limit": r.PeakLimitRatio, "used of limits": r.LimitUtilization(),
	}
}

// FigureNames are the names of the figures in display order.
var FigureNames = []string{"credit", "urgent credit", "other credit", "worst 5 s", "served", "refused", "failed", "refused again", "repeats", "in a rest", "most of a limit", "used of limits"}

// TopCauses returns the most frequent causes, at most limit of them.
func (r *Result) TopCauses(limit int) []string {
	causes := slices.SortedFunc(maps.Keys(r.Causes), func(a, b string) int {
		if r.Causes[a] != r.Causes[b] {
			return r.Causes[b] - r.Causes[a]
		}
		return slices.Compare([]byte(a), []byte(b))
	})
	return causes[:min(limit, len(causes))]
}

package rehearse

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/internal/starved"
	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/standin"
)

// The bounds of the verdict. They are the stated requirements of the product, not measurements.
const (
	// minShareOfEmulated is the least share of the requests served by the emulator that must be
	// served during faults.
	minShareOfEmulated = 0.9
	// starvedBelow is the fraction of the overall served share below which a kind of request,
	// an account or a data centre counts as starved.
	starvedBelow     = 0.25
	maxLateMS        = 20.0
	lateQuantile     = 0.99
	windowSeconds    = 2
	largestShare     = 0.1
	largeShare       = 0.3
	maxWrongAnswers  = 12
	worstWindowCount = 2
)

// evaluate builds the report from the outcomes of the callers' requests and the samples of the
// upstreams' free capacity.
func evaluate(s *lab.Scenario, o options, l *loadGenerator, samples []standin.FreeCapacity) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{
		Scenario: o.scenario, Seed: o.seed, Scale: o.scale, Requests: l.requests, LateMS: quantile(l.lateMS, lateQuantile),
		Refusals: make(map[string]*RefusalCounts), latency: hdrhistogram.New(1, int64(maxLatencyMS), latencyDigits),
	}
	r.Invalid = r.LateMS > maxLateMS
	r.countOutcomes(s)
	r.countRefusals(s, samples)
	r.checkServed(s, o)
	r.checkStarved()
	return r
}

// maxLatencyMS is the highest value of the latency histogram, and latencyDigits its number of
// significant digits.
const (
	maxLatencyMS  = 60_000
	latencyDigits = 2
)

// countOutcomes counts the outcomes in total, by second and by each dimension of the breakdown.
func (r *Report) countOutcomes(s *lab.Scenario) {
	r.Seconds = make([]OutcomeCounts, int(s.Load.DurationMS/msPerSecond)+1)
	sizes := sizeClasses(r.Requests)
	r.Breakdown = map[string]map[string]*OutcomeCounts{"kind": {}, "data_centre": {}, "account": {}, "caller": {}, "subject": {}, "size": {}}
	for _, q := range r.Requests {
		r.Total.add(q)
		r.Seconds[min(int(q.StartS), len(r.Seconds)-1)].add(q)
		for by, name := range map[string]string{
			"kind": q.Kind, "data_centre": q.DataCentre, "account": fmt.Sprint(q.Account), "caller": q.Caller, "subject": q.Subject, "size": sizes(q),
		} {
			counts := r.Breakdown[by][name]
			if counts == nil {
				counts = &OutcomeCounts{}
				r.Breakdown[by][name] = counts
			}
			counts.add(q)
		}
		if q.Outcome == lab.InTime || q.Outcome == lab.Late {
			// Longer latencies count as the highest value of the histogram.
			_ = r.latency.RecordValue(min(int64(q.FirstEventMS), int64(maxLatencyMS)))
		}
		if q.WrongAnswer != "" && len(r.WrongAnswers) < maxWrongAnswers {
			r.WrongAnswers = append(r.WrongAnswers, q.ID+": "+q.WrongAnswer)
		}
	}
	r.P50MS, r.P99MS = r.latency.ValueAtPercentile(50), r.latency.ValueAtPercentile(99)
	r.WorstWindows = r.worstWindows()
}

// sizeClasses returns a function that names the size class of a request among those of its
// kind: the largest tenth, the fifth below it, or the others.
func sizeClasses(requests []*Request) func(*Request) string {
	tokens := make(map[string][]int)
	for _, q := range requests {
		tokens[q.Kind] = append(tokens[q.Kind], q.Tokens)
	}
	for _, list := range tokens {
		slices.Sort(list)
	}
	return func(q *Request) string {
		list := tokens[q.Kind]
		rank, _ := slices.BinarySearch(list, q.Tokens)
		switch above := 1 - float64(rank)/float64(len(list)); {
		case list[0] == list[len(list)-1]:
			return q.Kind + " alike"
		case above <= largestShare:
			return q.Kind + " largest tenth"
		case above <= largeShare:
			return q.Kind + " fifth below"
		default:
			return q.Kind + " others"
		}
	}
}

// worstWindows returns the non-overlapping windows with the lowest served share.
func (r *Report) worstWindows() []Window {
	var windows []Window
	for from := 0; from+windowSeconds <= len(r.Seconds); from += windowSeconds {
		w := Window{StartS: from}
		for _, s := range r.Seconds[from : from+windowSeconds] {
			w.Counts.addCounts(s)
		}
		if w.Counts.Sent > 0 {
			windows = append(windows, w)
		}
	}
	slices.SortStableFunc(windows, func(a, b Window) int { return cmp.Compare(a.Counts.ServedShare(), b.Counts.ServedShare()) })
	return windows[:min(worstWindowCount, len(windows))]
}

// countRefusals counts the refusals by reason, and those that could have been served because
// upstreams had the needed capacity before the request's deadline.
func (r *Report) countRefusals(s *lab.Scenario, samples []standin.FreeCapacity) {
	for _, q := range r.Requests {
		for _, refusal := range q.Refusals {
			sum := r.Refusals[refusal.Reason]
			if sum == nil {
				sum = &RefusalCounts{}
				r.Refusals[refusal.Reason] = sum
			}
			sum.Attempts++
			if float64(refusal.RemainingMS) <= refusal.RetryAfterMS {
				sum.RetryTooLate++
			}
			if couldServe(s, q, refusal, samples) {
				sum.CouldServe++
			}
		}
		if len(q.Refusals) > 1 {
			r.RefusedRepeatedly++
		}
	}
}

// couldServe reports whether the upstreams had the capacity for a request at some time between
// its refusal and its deadline.
func couldServe(s *lab.Scenario, q *Request, refusal Refusal, samples []standin.FreeCapacity) bool {
	needs := int64(s.Deployment.PlainService.ServiceTimeMS)
	from := slices.IndexFunc(samples, func(o standin.FreeCapacity) bool { return o.AtMS >= refusal.AtMS })
	if from < 0 {
		return false
	}
	for _, o := range samples[from:] {
		if o.AtMS > refusal.AtMS+refusal.RemainingMS-needs {
			return false
		}
		if isStream(s, q) && o.Tokens >= q.MemoryTokens || !isStream(s, q) && o.PlainServers > 0 {
			return true
		}
	}
	return false
}

func isStream(s *lab.Scenario, q *Request) bool {
	return slices.ContainsFunc(s.Deployment.RequestKinds, func(k lab.RequestKind) bool { return k.Name == q.Kind && k.Mode == lab.ModeStream })
}

// checkServed compares the served shares, outside of faults and during faults, with the
// required ones.
func (r *Report) checkServed(s *lab.Scenario, o options) {
	emulatedShare := emulatedServedShare(s, o)
	var calm, duringFaults OutcomeCounts
	required := 0.0
	for _, q := range r.Requests {
		if duringFault(s, clock.Millis(q.StartS*msPerSecond), clock.Millis(q.EndS*msPerSecond)) {
			duringFaults.add(q)
			required += minShareOfEmulated * emulatedShare(int(q.StartS))
			continue
		}
		calm.add(q)
	}
	r.Calm, r.DuringFaults = calm, duringFaults
	if calm.Sent > 0 && calm.ServedShare() < starved.MinServedWithoutFaults {
		r.addViolation("enough is served: %.3f of %d in calm, want %v", calm.ServedShare(), calm.Sent, starved.MinServedWithoutFaults)
	}
	if duringFaults.Sent > 0 {
		r.MinServedDuringFaults = required / float64(duringFaults.Sent)
		if duringFaults.ServedShare() < r.MinServedDuringFaults {
			r.addViolation("enough is served: %.3f of %d in trouble, want %.3f", duringFaults.ServedShare(), duringFaults.Sent, r.MinServedDuringFaults)
		}
	}
	for _, wrong := range r.WrongAnswers {
		r.addViolation("answers are right: %s", wrong)
	}
}

// duringFault reports whether a span overlaps a fault or the recovery time after it.
func duringFault(s *lab.Scenario, from, to clock.Millis) bool {
	for _, f := range s.Faults {
		for _, begins := range f.StartTimes() {
			if to >= begins && from < begins.Add(f.Duration+s.Deployment.RecoveryMS) {
				return true
			}
		}
	}
	return false
}

// emulatedServedShare returns a function from a second of the run to the share that the
// emulator serves. The share is 0 if the emulator does not support one of the faults, because
// no requirement can be derived then.
func emulatedServedShare(s *lab.Scenario, o options) func(second int) float64 {
	for _, f := range s.Faults {
		if !f.Kind.Emulated() {
			return func(int) float64 { return 0 }
		}
	}
	if len(s.Faults) == 0 {
		return func(int) float64 { return 1 }
	}
	result := lab.Run(s, lab.Variant{}, o.seed)
	return func(second int) float64 {
		if second >= len(result.BySecond) {
			return 1
		}
		c := result.BySecond[second]
		all := c[lab.InTime] + c[lab.Late] + c[lab.Refused] + c[lab.Failed]
		return float64(c[lab.InTime]+c[lab.Late]) / float64(max(all, 1))
	}
}

// checkStarved finds kinds, accounts and data centres with a served share far below the overall
// one, and callers and subjects that are never served.
func (r *Report) checkStarved() {
	for _, by := range []string{"kind", "account", "data_centre"} {
		for name, counts := range r.Breakdown[by] {
			if counts.ServedShare() < starvedBelow*r.Total.ServedShare() {
				r.addViolation("nobody starves: %s %s is served %.3f of %d, all %.3f", by, name, counts.ServedShare(), counts.Sent, r.Total.ServedShare())
			}
		}
	}
	for _, by := range []string{"caller", "subject"} {
		r.checkNeverServed(by)
	}
	slices.Sort(r.BrokenPromises)
}

// checkNeverServed finds callers or subjects that send enough requests over a long enough time
// and are never served.
func (r *Report) checkNeverServed(by string) {
	var list []starved.Demand
	for _, counts := range r.Breakdown[by] {
		list = append(list, starved.Demand{Requests: counts.Sent, Served: counts.ServedCount(), Span: counts.lastStartS - counts.firstStartS})
	}
	if never, often, most := starved.CountNeverServed(list, r.Total.ServedShare()); float64(never) > most {
		r.addViolation("nobody starves: %d of %d by %s are never served, want %.1f at most", never, often, by, most)
	}
}

func (r *Report) addViolation(format string, args ...any) {
	r.BrokenPromises = append(r.BrokenPromises, fmt.Sprintf(format, args...))
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

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

// The bounds of the verdict. They are what was stated for the product, not what was measured.
const (
	// borneAtLeast is the part of what the emulator serves that is served in trouble.
	borneAtLeast = 0.9
	// starvedUnder is the part of the whole's share under which a kind of request, an account
	// or a data centre is starved.
	starvedUnder = 0.25
	lateMostMS   = 20.0
	latePart     = 0.99
	windowSpan   = 2
	largestPart  = 0.1
	largePart    = 0.3
	mostShown    = 12
	worstWindows = 2
)

// judge sums up what callers got.
func judge(s *lab.Scenario, o options, l *load, open []standin.Openness) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{
		Scenario: o.scenario, Seed: o.seed, Scale: o.scale, Requests: l.requests, LateMS: percentile(l.lateMS, latePart),
		Refused: make(map[string]*Refused), latency: hdrhistogram.New(1, int64(longestLatency), latencyDigits),
	}
	r.NotValid = r.LateMS > lateMostMS
	r.count(s)
	r.sumRefusals(s, open)
	r.judgeEnough(s, o)
	r.judgeStarved()
	return r
}

// longestLatency and latencyDigits are those of the histogram, in ms.
const (
	longestLatency = 60_000
	latencyDigits  = 2
)

// count sums up outcomes by all that they are judged by.
func (r *Report) count(s *lab.Scenario) {
	r.Seconds = make([]Share, int(s.Load.ForMS/msPerSecond)+1)
	sizes := sizeClasses(r.Requests)
	r.By = map[string]map[string]*Share{"kind": {}, "data_centre": {}, "account": {}, "caller": {}, "subject": {}, "size": {}}
	for _, q := range r.Requests {
		r.Whole.add(q)
		r.Seconds[min(int(q.At), len(r.Seconds)-1)].add(q)
		for by, name := range map[string]string{
			"kind": q.Kind, "data_centre": q.Centre, "account": fmt.Sprint(q.Account), "caller": q.Caller, "subject": q.Subject, "size": sizes(q),
		} {
			share := r.By[by][name]
			if share == nil {
				share = &Share{}
				r.By[by][name] = share
			}
			share.add(q)
		}
		if q.Outcome == lab.InTime || q.Outcome == lab.Late {
			// What is longer than the histogram counts as its longest.
			_ = r.latency.RecordValue(min(int64(q.FirstMS), int64(longestLatency)))
		}
		if q.Wrong != "" && len(r.Wrong) < mostShown {
			r.Wrong = append(r.Wrong, q.ID+": "+q.Wrong)
		}
	}
	r.P50, r.P99 = r.latency.ValueAtPercentile(50), r.latency.ValueAtPercentile(99)
	r.Worst = r.worst()
}

// sizeClasses tells the largest tenth of each kind of request, and the fifth below it.
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
		case above <= largestPart:
			return q.Kind + " largest tenth"
		case above <= largePart:
			return q.Kind + " fifth below"
		default:
			return q.Kind + " others"
		}
	}
}

// worst returns the worst windows that do not overlap.
func (r *Report) worst() []Window {
	var windows []Window
	for from := 0; from+windowSpan <= len(r.Seconds); from += windowSpan {
		w := Window{From: from}
		for _, s := range r.Seconds[from : from+windowSpan] {
			w.Share.plus(s)
		}
		if w.Share.Asked > 0 {
			windows = append(windows, w)
		}
	}
	slices.SortStableFunc(windows, func(a, b Window) int { return cmp.Compare(a.Share.Served(), b.Share.Served()) })
	return windows[:min(worstWindows, len(windows))]
}

// sumRefusals sums up what was refused for what, and how much of it could have been served: while
// its caller waited, upstreams had what it takes.
func (r *Report) sumRefusals(s *lab.Scenario, open []standin.Openness) {
	for _, q := range r.Requests {
		for _, refusal := range q.Refusals {
			sum := r.Refused[refusal.Reason]
			if sum == nil {
				sum = &Refused{}
				r.Refused[refusal.Reason] = sum
			}
			sum.Tries++
			if float64(refusal.LeftMS) <= refusal.BackMS {
				sum.BackTooLate++
			}
			if couldServe(s, q, refusal, open) {
				sum.CouldServe++
			}
		}
		if len(q.Refusals) > 1 {
			r.RefusedAgain++
		}
	}
}

// couldServe tells whether upstreams had what a request takes in the time that its caller had left.
func couldServe(s *lab.Scenario, q *Request, refusal Refusal, open []standin.Openness) bool {
	needs := int64(s.Deployment.Plain.WorkMS)
	from := slices.IndexFunc(open, func(o standin.Openness) bool { return o.AtMS >= refusal.AtMS })
	if from < 0 {
		return false
	}
	for _, o := range open[from:] {
		if o.AtMS > refusal.AtMS+refusal.LeftMS-needs {
			return false
		}
		if isStream(s, q) && o.Tokens >= q.Memory || !isStream(s, q) && o.Desks > 0 {
			return true
		}
	}
	return false
}

func isStream(s *lab.Scenario, q *Request) bool {
	return slices.ContainsFunc(s.Deployment.Requests, func(k lab.RequestKind) bool { return k.Name == q.Kind && k.How == lab.HowStream })
}

// judgeEnough compares what was served with what must be: calm, and in trouble.
func (r *Report) judgeEnough(s *lab.Scenario, o options) {
	borne := borneBy(s, o)
	var calm, trouble Share
	wanted := 0.0
	for _, q := range r.Requests {
		if inTrouble(s, clock.Millis(q.At*msPerSecond), clock.Millis(q.EndS*msPerSecond)) {
			trouble.add(q)
			wanted += borneAtLeast * borne(int(q.At))
			continue
		}
		calm.add(q)
	}
	r.Calm, r.Trouble = calm, trouble
	if calm.Asked > 0 && calm.Served() < starved.MinServedWithoutFaults {
		r.broken("enough is served: %.3f of %d in calm, want %v", calm.Served(), calm.Asked, starved.MinServedWithoutFaults)
	}
	if trouble.Asked > 0 {
		r.WantedInTrouble = wanted / float64(trouble.Asked)
		if trouble.Served() < r.WantedInTrouble {
			r.broken("enough is served: %.3f of %d in trouble, want %.3f", trouble.Served(), trouble.Asked, r.WantedInTrouble)
		}
	}
	for _, wrong := range r.Wrong {
		r.broken("answers are right: %s", wrong)
	}
}

// inTrouble tells whether a trouble lasts, or its recovery, while a request is under way.
func inTrouble(s *lab.Scenario, from, to clock.Millis) bool {
	for _, f := range s.Faults {
		for _, begins := range f.Begins() {
			if to >= begins && from < begins.Add(f.For+s.Deployment.RecoveryMS) {
				return true
			}
		}
	}
	return false
}

// borneBy returns what the emulator serves by second. Where it does not play all of the troubles,
// nothing is wanted: nobody knows what can be borne.
func borneBy(s *lab.Scenario, o options) func(second int) float64 {
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
		if second >= len(result.Seconds) {
			return 1
		}
		c := result.Seconds[second]
		all := c[lab.InTime] + c[lab.Late] + c[lab.Refused] + c[lab.Failed]
		return float64(c[lab.InTime]+c[lab.Late]) / float64(max(all, 1))
	}
}

// judgeStarved looks for those that are served far less often than all.
func (r *Report) judgeStarved() {
	for _, by := range []string{"kind", "account", "data_centre"} {
		for name, share := range r.By[by] {
			if share.Served() < starvedUnder*r.Whole.Served() {
				r.broken("nobody starves: %s %s is served %.3f of %d, all %.3f", by, name, share.Served(), share.Asked, r.Whole.Served())
			}
		}
	}
	for _, by := range []string{"caller", "subject"} {
		r.judgeNever(by)
	}
	slices.Sort(r.Broken)
}

// judgeNever looks for those that ask often and long enough, and are never served.
func (r *Report) judgeNever(by string) {
	var list []starved.Demand
	for _, share := range r.By[by] {
		list = append(list, starved.Demand{Requests: share.Asked, Served: share.ServedInAll(), Span: share.last - share.first})
	}
	if never, often, most := starved.CountNeverServed(list, r.Whole.Served()); float64(never) > most {
		r.broken("nobody starves: %d of %d by %s are never served, want %.1f at most", never, often, by, most)
	}
}

func (r *Report) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

func percentile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

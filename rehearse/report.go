package rehearse

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/lab"
)

// OutcomeCounts counts requests by what became of them.
type OutcomeCounts struct {
	Sent   int `json:"asked"`
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused requests have not run, and Failed ones may have.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// firstStartS and last are when the first and the last were asked for, in s.
	firstStartS, lastStartS float64
}

func (s *OutcomeCounts) add(q *Request) {
	if s.Sent == 0 {
		s.firstStartS = q.StartS
	}
	s.Sent++
	s.lastStartS = q.StartS
	switch q.Outcome {
	case lab.InTime:
		s.InTime++
	case lab.Late:
		s.Late++
	case lab.Refused:
		s.Refused++
	default:
		s.Failed++
	}
}

func (s *OutcomeCounts) addCounts(o OutcomeCounts) {
	s.Sent += o.Sent
	s.InTime += o.InTime
	s.Late += o.Late
	s.Refused += o.Refused
	s.Failed += o.Failed
}

// ServedCount is how many were served, also late.
func (s *OutcomeCounts) ServedCount() int { return s.InTime + s.Late }

// ServedShare is the part that was served, also late; 1 where nothing was asked for.
func (s *OutcomeCounts) ServedShare() float64 {
	if s.Sent == 0 {
		return 1
	}
	return float64(s.ServedCount()) / float64(s.Sent)
}

// Window is some seconds of a run.
type Window struct {
	StartS int           `json:"from_s"`
	Counts OutcomeCounts `json:"share"`
}

// RefusalCounts sums up the refusals for one reason.
type RefusalCounts struct {
	Attempts int `json:"tries"`
	// CouldServe is how many of them upstreams could have served in their callers' time, and
	// RetryTooLate how many were told to come back when that was over.
	CouldServe   int `json:"could_serve"`
	RetryTooLate int `json:"back_too_late"`
}

// NodeUsage is what a node has used.
type NodeUsage struct {
	Name             string  `json:"name"`
	PeakMB           float64 `json:"peak_mb"`
	ProcessorSeconds float64 `json:"processor_s"`
}

// Report is what a rehearsal has shown.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Scale    float64 `json:"scale"`
	// Invalid tells that the machine was too busy for a verdict: callers came late, the
	// latest hundredth by LateMS and more.
	Invalid bool    `json:"not_valid"`
	LateMS  float64 `json:"late_ms"`

	Total        OutcomeCounts                        `json:"whole"`
	Calm         OutcomeCounts                        `json:"calm"`
	DuringFaults OutcomeCounts                        `json:"trouble"`
	Seconds      []OutcomeCounts                      `json:"seconds"`
	WorstWindows []Window                             `json:"worst"`
	Breakdown    map[string]map[string]*OutcomeCounts `json:"by"`
	// MinServedDuringFaults is the part that must be served in trouble.
	MinServedDuringFaults float64                   `json:"wanted_in_trouble"`
	Refusals              map[string]*RefusalCounts `json:"refused"`
	RefusedRepeatedly     int                       `json:"refused_again"`
	P50MS                 int64                     `json:"p50_ms"`
	P99MS                 int64                     `json:"p99_ms"`
	Nodes                 []NodeUsage               `json:"nodes"`
	// BrokenPromises are the promises that were broken, FailedFaults the troubles that could not be done,
	// and Wrong the first wrong answers.
	BrokenPromises []string   `json:"broken"`
	FailedFaults   []string   `json:"not_done,omitempty"`
	WrongAnswers   []string   `json:"wrong,omitempty"`
	Requests       []*Request `json:"requests"`

	latency *hdrhistogram.Histogram
}

// Errors of a verdict, for errors.Is.
var (
	ErrPromiseBroken = errors.New("rehearse: a promise was broken")
	ErrInvalid       = errors.New("rehearse: not valid: the machine is too busy")
)

// Verdict returns nil if all promises were kept.
func (r *Report) Verdict() error {
	switch {
	case r.Invalid:
		return errors.Wrapf(ErrInvalid, "callers came up to %.0f ms late", r.LateMS)
	case len(r.BrokenPromises) > 0:
		return errors.Wrap(ErrPromiseBroken, strings.Join(r.BrokenPromises, "; "))
	}
	return nil
}

// WriteJSON writes all of it.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// Print writes it for people.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	p := printer{w: w}
	p.line("%s, seed %d\tasked\tserved\tin time\tlate\trefused\tfailed", r.Scenario, r.Seed)
	p.counts("all", r.Total)
	p.counts("calm", r.Calm)
	p.counts(fmt.Sprintf("in trouble (want %.3f)", r.MinServedDuringFaults), r.DuringFaults)
	for _, w := range r.WorstWindows {
		p.counts(fmt.Sprintf("worst: seconds %d and %d", w.StartS, w.StartS+1), w.Counts)
	}
	for _, by := range []string{"kind", "data_centre", "account", "size"} {
		for _, name := range slices.Sorted(maps.Keys(r.Breakdown[by])) {
			p.counts(by+" "+name, *r.Breakdown[by][name])
		}
	}
	p.line("first event, answer: p50 %d ms, p99 %d ms\t", r.P50MS, r.P99MS)
	for _, reason := range slices.SortedFunc(maps.Keys(r.Refusals), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Refusals[b].Attempts, r.Refusals[a].Attempts), strings.Compare(a, b))
	}) {
		sum := r.Refusals[reason]
		p.line("refused %s: %d tries, %d could have been served, %d told to come back too late\t", reason, sum.Attempts, sum.CouldServe, sum.RetryTooLate)
	}
	for why, n := range r.failureCounts() {
		p.line("lost: %s %d\t", why, n)
	}
	p.line("refused twice: %d; callers late by %.1f ms (99 in 100)\t", r.RefusedRepeatedly, r.LateMS)
	for _, n := range r.Nodes {
		p.line("%s: %.0f MB at its peak, %.1f s of a processor\t", n.Name, n.PeakMB, n.ProcessorSeconds)
	}
	for _, what := range append(slices.Clone(r.BrokenPromises), r.FailedFaults...) {
		p.line("broken: %s\t", what)
	}
	return errors.CombineErrors(p.err, w.Flush())
}

// failureCounts counts why requests were not served.
func (r *Report) failureCounts() map[string]int {
	counts := make(map[string]int)
	for _, q := range r.Requests {
		if q.FailureReason != "" {
			counts[q.FailureReason]++
		}
	}
	return counts
}

// WriteHTML writes the page of HTML that hoistlab writes of its runs.
func (r *Report) WriteHTML(out io.Writer) error {
	result := &lab.Result{Seed: r.Seed, Variant: lab.Variant{Name: "real processes"}, Causes: r.failureCounts(), Violations: make(map[string]string)}
	for _, s := range r.Seconds {
		result.BySecond = append(result.BySecond, s.outcomes())
	}
	result.Total = r.Total.outcomes()
	result.RefusedRetries = r.RefusedRepeatedly
	for i, what := range r.BrokenPromises {
		result.Violations[fmt.Sprint(i+1)] = what
	}
	return result.WriteReport(out, r.Scenario)
}

func (s *OutcomeCounts) outcomes() [4]int { return [4]int{s.InTime, s.Late, s.Refused, s.Failed} }

// printer prints lines until one fails.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) counts(name string, s OutcomeCounts) {
	p.line("%s\t%d\t%.3f\t%d\t%d\t%d\t%d", name, s.Sent, s.ServedShare(), s.InTime, s.Late, s.Refused, s.Failed)
}

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

// OutcomeCounts counts requests by outcome.
type OutcomeCounts struct {
	Sent   int `json:"asked"`
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused requests were not executed; Failed ones may have been.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// firstStartS and lastStartS are the start times of the first and the last request, in
	// seconds from the start of the load.
	firstStartS, lastStartS float64
}

func (c *OutcomeCounts) add(q *Request) {
	if c.Sent == 0 {
		c.firstStartS = q.StartS
	}
	c.Sent++
	c.lastStartS = q.StartS
	switch q.Outcome {
	case lab.InTime:
		c.InTime++
	case lab.Late:
		c.Late++
	case lab.Refused:
		c.Refused++
	default:
		c.Failed++
	}
}

func (c *OutcomeCounts) addCounts(o OutcomeCounts) {
	c.Sent += o.Sent
	c.InTime += o.InTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
}

// ServedCount returns the number of requests that were served in time or late.
func (c *OutcomeCounts) ServedCount() int { return c.InTime + c.Late }

// ServedShare returns the share of requests that were served in time or late; 1 if there are no
// requests.
func (c *OutcomeCounts) ServedShare() float64 {
	if c.Sent == 0 {
		return 1
	}
	return float64(c.ServedCount()) / float64(c.Sent)
}

// Window is a span of windowSeconds seconds of a run.
type Window struct {
	StartS int           `json:"from_s"`
	Counts OutcomeCounts `json:"share"`
}

// RefusalCounts counts the refused attempts with one reason.
type RefusalCounts struct {
	Attempts int `json:"tries"`
	// CouldServe counts the attempts for which upstreams had capacity before the request's
	// deadline, and RetryTooLate those whose Retry-After was not shorter than the time that was
	// left.
	CouldServe   int `json:"could_serve"`
	RetryTooLate int `json:"back_too_late"`
}

// NodeUsage is the memory and processor time that a node has used.
type NodeUsage struct {
	Name             string  `json:"name"`
	PeakMB           float64 `json:"peak_mb"`
	ProcessorSeconds float64 `json:"processor_s"`
}

// Report is the result of a rehearsal.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Scale    float64 `json:"scale"`
	// Invalid reports whether the machine was too busy for a verdict: the 99th percentile
	// LateMS of the callers' delay is too high.
	Invalid bool    `json:"not_valid"`
	LateMS  float64 `json:"late_ms"`

	Total        OutcomeCounts                        `json:"whole"`
	Calm         OutcomeCounts                        `json:"calm"`
	DuringFaults OutcomeCounts                        `json:"trouble"`
	Seconds      []OutcomeCounts                      `json:"seconds"`
	WorstWindows []Window                             `json:"worst"`
	Breakdown    map[string]map[string]*OutcomeCounts `json:"by"`
	// MinServedDuringFaults is the share of requests that must be served during faults.
	MinServedDuringFaults float64                   `json:"wanted_in_trouble"`
	Refusals              map[string]*RefusalCounts `json:"refused"`
	RefusedRepeatedly     int                       `json:"refused_again"`
	P50MS                 int64                     `json:"p50_ms"`
	P99MS                 int64                     `json:"p99_ms"`
	Nodes                 []NodeUsage               `json:"nodes"`
	// BrokenPromises are the violated guarantees, FailedFaults the faults that could not be
	// injected, and WrongAnswers the first wrong responses.
	BrokenPromises []string   `json:"broken"`
	FailedFaults   []string   `json:"not_done,omitempty"`
	WrongAnswers   []string   `json:"wrong,omitempty"`
	Requests       []*Request `json:"requests"`

	latency *hdrhistogram.Histogram
}

// The errors of a verdict.
var (
	ErrPromiseBroken = errors.New("rehearse: a guarantee was violated")
	ErrInvalid       = errors.New("rehearse: not valid: the machine was too busy")
)

// Verdict returns nil if no guarantee was violated, ErrInvalid if the run allows no verdict,
// and else ErrPromiseBroken.
func (r *Report) Verdict() error {
	switch {
	case r.Invalid:
		return errors.Wrapf(ErrInvalid, "callers sent requests up to %.0f ms late", r.LateMS)
	case len(r.BrokenPromises) > 0:
		return errors.Wrap(ErrPromiseBroken, strings.Join(r.BrokenPromises, "; "))
	}
	return nil
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// Print writes the report as a table for people.
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
	for reason, n := range r.failureCounts() {
		p.line("lost: %s %d\t", reason, n)
	}
	p.line("refused twice: %d; callers late by %.1f ms (99 in 100)\t", r.RefusedRepeatedly, r.LateMS)
	for _, n := range r.Nodes {
		p.line("%s: %.0f MB at its peak, %.1f s of a processor\t", n.Name, n.PeakMB, n.ProcessorSeconds)
	}
	for _, violation := range append(slices.Clone(r.BrokenPromises), r.FailedFaults...) {
		p.line("broken: %s\t", violation)
	}
	return errors.CombineErrors(p.err, w.Flush())
}

// failureCounts counts the requests that were not served, by failure reason.
func (r *Report) failureCounts() map[string]int {
	counts := make(map[string]int)
	for _, q := range r.Requests {
		if q.FailureReason != "" {
			counts[q.FailureReason]++
		}
	}
	return counts
}

// WriteHTML writes the report as the HTML page that hoistlab writes for its runs.
func (r *Report) WriteHTML(out io.Writer) error {
	result := &lab.Result{Seed: r.Seed, Variant: lab.Variant{Name: "real processes"}, Causes: r.failureCounts(), Violations: make(map[string]string)}
	for _, s := range r.Seconds {
		result.BySecond = append(result.BySecond, s.outcomes())
	}
	result.Total = r.Total.outcomes()
	result.RefusedRetries = r.RefusedRepeatedly
	for i, violation := range r.BrokenPromises {
		result.Violations[fmt.Sprint(i+1)] = violation
	}
	return result.WriteReport(out, r.Scenario)
}

func (c *OutcomeCounts) outcomes() [4]int { return [4]int{c.InTime, c.Late, c.Refused, c.Failed} }

// printer writes lines until a write fails, and keeps the error.
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

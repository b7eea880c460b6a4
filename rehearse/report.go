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

// Share counts requests by what became of them.
type Share struct {
	Asked  int `json:"asked"`
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused requests have not run, and Failed ones may have.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// first and last are when the first and the last were asked for, in s.
	first, last float64
}

func (s *Share) add(q *Request) {
	if s.Asked == 0 {
		s.first = q.At
	}
	s.Asked++
	s.last = q.At
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

func (s *Share) plus(o Share) {
	s.Asked += o.Asked
	s.InTime += o.InTime
	s.Late += o.Late
	s.Refused += o.Refused
	s.Failed += o.Failed
}

// ServedInAll is how many were served, also late.
func (s *Share) ServedInAll() int { return s.InTime + s.Late }

// Served is the part that was served, also late; 1 where nothing was asked for.
func (s *Share) Served() float64 {
	if s.Asked == 0 {
		return 1
	}
	return float64(s.ServedInAll()) / float64(s.Asked)
}

// Window is some seconds of a run.
type Window struct {
	From  int   `json:"from_s"`
	Share Share `json:"share"`
}

// Refused sums up the refusals for one reason.
type Refused struct {
	Tries int `json:"tries"`
	// CouldServe is how many of them upstreams could have served in their callers' time, and
	// BackTooLate how many were told to come back when that was over.
	CouldServe  int `json:"could_serve"`
	BackTooLate int `json:"back_too_late"`
}

// NodeUse is what a node has used.
type NodeUse struct {
	Name       string  `json:"name"`
	PeakMB     float64 `json:"peak_mb"`
	Processors float64 `json:"processor_s"`
}

// Report is what a rehearsal has shown.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Scale    float64 `json:"scale"`
	// NotValid tells that the machine was too busy for a verdict: callers came late, the
	// latest hundredth by LateMS and more.
	NotValid bool    `json:"not_valid"`
	LateMS   float64 `json:"late_ms"`

	Whole   Share                        `json:"whole"`
	Calm    Share                        `json:"calm"`
	Trouble Share                        `json:"trouble"`
	Seconds []Share                      `json:"seconds"`
	Worst   []Window                     `json:"worst"`
	By      map[string]map[string]*Share `json:"by"`
	// WantedInTrouble is the part that must be served in trouble.
	WantedInTrouble float64             `json:"wanted_in_trouble"`
	Refused         map[string]*Refused `json:"refused"`
	RefusedAgain    int                 `json:"refused_again"`
	P50             int64               `json:"p50_ms"`
	P99             int64               `json:"p99_ms"`
	Nodes           []NodeUse           `json:"nodes"`
	// Broken are the promises that were broken, NotDone the troubles that could not be done,
	// and Wrong the first wrong answers.
	Broken   []string   `json:"broken"`
	NotDone  []string   `json:"not_done,omitempty"`
	Wrong    []string   `json:"wrong,omitempty"`
	Requests []*Request `json:"requests"`

	latency *hdrhistogram.Histogram
}

// Errors of a verdict, for errors.Is.
var (
	ErrBroken   = errors.New("rehearse: a promise was broken")
	ErrNotValid = errors.New("rehearse: not valid: the machine is too busy")
)

// Verdict returns nil if all promises were kept.
func (r *Report) Verdict() error {
	switch {
	case r.NotValid:
		return errors.Wrapf(ErrNotValid, "callers came up to %.0f ms late", r.LateMS)
	case len(r.Broken) > 0:
		return errors.Wrap(ErrBroken, strings.Join(r.Broken, "; "))
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
	p.share("all", r.Whole)
	p.share("calm", r.Calm)
	p.share(fmt.Sprintf("in trouble (want %.3f)", r.WantedInTrouble), r.Trouble)
	for _, w := range r.Worst {
		p.share(fmt.Sprintf("worst: seconds %d and %d", w.From, w.From+1), w.Share)
	}
	for _, by := range []string{"kind", "data_centre", "account", "size"} {
		for _, name := range slices.Sorted(maps.Keys(r.By[by])) {
			p.share(by+" "+name, *r.By[by][name])
		}
	}
	p.line("first event, answer: p50 %d ms, p99 %d ms\t", r.P50, r.P99)
	for _, reason := range slices.SortedFunc(maps.Keys(r.Refused), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Refused[b].Tries, r.Refused[a].Tries), strings.Compare(a, b))
	}) {
		sum := r.Refused[reason]
		p.line("refused %s: %d tries, %d could have been served, %d told to come back too late\t", reason, sum.Tries, sum.CouldServe, sum.BackTooLate)
	}
	for why, n := range r.lost() {
		p.line("lost: %s %d\t", why, n)
	}
	p.line("refused twice: %d; callers late by %.1f ms (99 in 100)\t", r.RefusedAgain, r.LateMS)
	for _, n := range r.Nodes {
		p.line("%s: %.0f MB at its peak, %.1f s of a processor\t", n.Name, n.PeakMB, n.Processors)
	}
	for _, what := range append(slices.Clone(r.Broken), r.NotDone...) {
		p.line("broken: %s\t", what)
	}
	return errors.CombineErrors(p.err, w.Flush())
}

// lost counts why requests were not served.
func (r *Report) lost() map[string]int {
	counts := make(map[string]int)
	for _, q := range r.Requests {
		if q.Why != "" {
			counts[q.Why]++
		}
	}
	return counts
}

// WritePage writes the page of HTML that hoistlab writes of its runs.
func (r *Report) WritePage(out io.Writer) error {
	result := &lab.Result{Seed: r.Seed, Variant: lab.Variant{Name: "real processes"}, Causes: r.lost(), Violations: make(map[string]string)}
	for _, s := range r.Seconds {
		result.BySecond = append(result.BySecond, s.outcomes())
	}
	result.Total = r.Whole.outcomes()
	result.RefusedRetries = r.RefusedAgain
	for i, what := range r.Broken {
		result.Violations[fmt.Sprint(i+1)] = what
	}
	return result.WriteReport(out, r.Scenario)
}

func (s *Share) outcomes() [4]int { return [4]int{s.InTime, s.Late, s.Refused, s.Failed} }

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

func (p *printer) share(name string, s Share) {
	p.line("%s\t%d\t%.3f\t%d\t%d\t%d\t%d", name, s.Asked, s.Served(), s.InTime, s.Late, s.Refused, s.Failed)
}

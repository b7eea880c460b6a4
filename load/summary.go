package load

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hoistjunction/hoistjunction/outcome"
)

// Summary holds counts and latency histograms of the results of a run.
type Summary struct {
	Total    int
	Outcomes map[string]int
	Reasons  map[string]int
	// Wrong counts responses with outcome "done" whose content is incorrect. It must
	// be zero.
	Wrong int
	first *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
}

// Histograms record microseconds, up to one minute, with three significant digits.
const (
	maxMicros         = 60_000_000
	significantDigits = 3
)

// Summarize returns the summary of results.
func Summarize(results []Result) *Summary {
	s := &Summary{
		Total: len(results), Outcomes: make(map[string]int), Reasons: make(map[string]int),
		first: hdrhistogram.New(1, maxMicros, significantDigits), gaps: hdrhistogram.New(1, maxMicros, significantDigits),
	}
	for i := range results {
		s.add(&results[i])
	}
	return s
}

func (s *Summary) add(r *Result) {
	name := r.Outcome.String()
	if r.Outcome == outcome.None {
		name = "missing"
	}
	s.Outcomes[name]++
	if r.Reason != "" {
		s.Reasons[r.Reason]++
	}
	if r.Outcome != outcome.Done {
		return
	}
	if !r.Correct {
		s.Wrong++
	}
	_ = s.first.RecordValue(min(r.FirstToken.Microseconds(), maxMicros))
	for _, g := range r.TokenGaps {
		_ = s.gaps.RecordValue(min(g.Microseconds(), maxMicros))
	}
}

// Missing returns the number of items without an outcome.
func (s *Summary) Missing() int { return s.Outcomes["missing"] }

// Done returns the number of items with outcome "done".
func (s *Summary) Done() int { return s.Outcomes[outcome.Done.String()] }

// First returns the time to the first token at percentile q, from 0 to 100.
func (s *Summary) First(q float64) time.Duration {
	return time.Duration(s.first.ValueAtQuantile(q)) * time.Microsecond
}

// Gap returns the time between tokens at percentile q, from 0 to 100.
func (s *Summary) Gap(q float64) time.Duration {
	return time.Duration(s.gaps.ValueAtQuantile(q)) * time.Microsecond
}

// Print writes the summary as a table.
func (s *Summary) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-10s %8s\n", "outcome", "requests")
	for _, name := range []string{"done", "not_run", "failed", "unknown", "missing"} {
		_, _ = fmt.Fprintf(w, "%-10s %8d\n", name, s.Outcomes[name])
	}
	_, _ = fmt.Fprintf(w, "%-10s %8d\n%-10s %8d\n", "wrong", s.Wrong, "total", s.Total)
	_, _ = fmt.Fprintf(w, "first token or answer: p50 %v  p95 %v  p99 %v\n", s.First(50), s.First(95), s.First(99))
	_, _ = fmt.Fprintf(w, "between tokens:        p50 %v  p95 %v  p99 %v\n", s.Gap(50), s.Gap(95), s.Gap(99))
}

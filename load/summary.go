package load

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hoistjunction/hoistjunction/outcome"
)

// Summary counts the results of a run.
type Summary struct {
	Total    int
	Outcomes map[string]int
	Reasons  map[string]int
	// Wrong counts answers that were said to be whole and are not the right
	// ones. It must be zero.
	Wrong int
	first *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
}

// The histograms count microseconds, up to a minute.
const (
	longestMicros = 60_000_000
	digits        = 3
)

// Summarize counts results.
func Summarize(results []Result) *Summary {
	s := &Summary{
		Total: len(results), Outcomes: make(map[string]int), Reasons: make(map[string]int),
		first: hdrhistogram.New(1, longestMicros, digits), gaps: hdrhistogram.New(1, longestMicros, digits),
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
	_ = s.first.RecordValue(min(r.First.Microseconds(), longestMicros))
	for _, g := range r.Gaps {
		_ = s.gaps.RecordValue(min(g.Microseconds(), longestMicros))
	}
}

// Missing counts items that never had a final word.
func (s *Summary) Missing() int { return s.Outcomes["missing"] }

// Done counts items whose answer is whole.
func (s *Summary) Done() int { return s.Outcomes[outcome.Done.String()] }

// First returns the time to the first token at a quantile from 0 to 100.
func (s *Summary) First(q float64) time.Duration {
	return time.Duration(s.first.ValueAtQuantile(q)) * time.Microsecond
}

// Gap returns the time between tokens at a quantile from 0 to 100.
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

package relay

import (
	"expvar"
	"fmt"
	"io"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Range of the recorded times in ms and ratios in hundredths, and the precision of the histograms in
// significant digits.
const (
	minRecorded       = 1
	maxRecorded       = 60_000
	significantDigits = 2
)

// stats holds the node's counters and histograms. It is safe for concurrent use.
type stats struct {
	counters      *expvar.Map
	mu            sync.Mutex
	firstEventMS  *hdrhistogram.Histogram
	wholeAnswerMS *hdrhistogram.Histogram
	// firstEventRatioPct holds the actual time to an attempt's first event divided by the predicted
	// one, in hundredths.
	firstEventRatioPct *hdrhistogram.Histogram
}

func newStats() *stats {
	return &stats{
		counters:           new(expvar.Map).Init(),
		firstEventMS:       newHistogram(),
		wholeAnswerMS:      newHistogram(),
		firstEventRatioPct: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRecorded, maxRecorded, significantDigits)
}

func (s *stats) count(name string) { s.counters.Add(name, 1) }

// firstEvent records the time to a stream's first event.
func (s *stats) firstEvent(d clock.Millis) { s.record(s.firstEventMS, int64(d)) }

// wholeAnswer records the time to the end of an answer.
func (s *stats) wholeAnswer(d clock.Millis) { s.record(s.wholeAnswerMS, int64(d)) }

// firstEventOfAttempt records the predicted and the actual time from sending to the first event.
func (s *stats) firstEventOfAttempt(predicted, actual clock.Millis) {
	s.record(s.firstEventRatioPct, int64(100*actual/max(predicted, 1)))
}

func (s *stats) record(h *hdrhistogram.Histogram, value int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Values are clamped to the range, so recording cannot fail.
	_ = h.RecordValue(min(max(value, minRecorded), maxRecorded))
}

// write writes all metrics as one JSON object.
func (s *stats) write(w io.Writer, gauges map[string]int64, extra map[string]expvar.Var) error {
	all := new(expvar.Map).Init()
	for name, v := range extra {
		all.Set(name, v)
	}
	all.Set("requests", s.counters)
	for name, value := range gauges {
		v := new(expvar.Int)
		v.Set(value)
		all.Set(name, v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all.Set("first_event_ms", quantilesOf(s.firstEventMS, timeQuantiles))
	all.Set("first_event_ratio_pct", quantilesOf(s.firstEventRatioPct, ratioQuantiles))
	all.Set("whole_answer_ms", quantilesOf(s.wholeAnswerMS, timeQuantiles))
	_, err := fmt.Fprintf(w, "{\"hoistrelay\": %s, \"memstats\": %s}\n", all, expvar.Get("memstats"))
	return err
}

// Quantiles of the metrics. Nine in ten predictions lie between the outer quantiles of the ratio.
var (
	timeQuantiles  = []float64{50, 95, 99}
	ratioQuantiles = []float64{5, 50, 95}
)

func quantilesOf(h *hdrhistogram.Histogram, quantiles []float64) expvar.Var {
	v := new(expvar.Map).Init()
	for _, q := range quantiles {
		n := new(expvar.Int)
		n.Set(h.ValueAtQuantile(q))
		v.Set(fmt.Sprintf("p%.0f", q), n)
	}
	n := new(expvar.Int)
	n.Set(h.TotalCount())
	v.Set("count", n)
	return v
}

package relay

import (
	"expvar"
	"fmt"
	"io"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Bounds of the histograms, in ms, and their precision in digits.
const (
	minRecordedMS     = 1
	maxRecordedMS     = 60_000
	significantDigits = 2
)

// stats are the node's counters and histograms. They are safe for concurrent
// use.
type stats struct {
	counters      *expvar.Map
	mu            sync.Mutex
	firstEventMS  *hdrhistogram.Histogram
	wholeAnswerMS *hdrhistogram.Histogram
}

func newStats() *stats {
	return &stats{
		counters:      new(expvar.Map).Init(),
		firstEventMS:  hdrhistogram.New(minRecordedMS, maxRecordedMS, significantDigits),
		wholeAnswerMS: hdrhistogram.New(minRecordedMS, maxRecordedMS, significantDigits),
	}
}

func (s *stats) count(name string) { s.counters.Add(name, 1) }

// firstEvent notes the time to a stream's first event.
func (s *stats) firstEvent(d clock.Millis) { s.record(s.firstEventMS, d) }

// wholeAnswer notes the time to the end of an answer.
func (s *stats) wholeAnswer(d clock.Millis) { s.record(s.wholeAnswerMS, d) }

func (s *stats) record(h *hdrhistogram.Histogram, d clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Values are clamped into the range, so recording cannot fail.
	_ = h.RecordValue(min(max(int64(d), minRecordedMS), maxRecordedMS))
}

// write prints everything as one JSON object.
func (s *stats) write(w io.Writer, gauges map[string]int64, more map[string]expvar.Var) error {
	all := new(expvar.Map).Init()
	for name, v := range more {
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
	all.Set("first_event_ms", quantilesOf(s.firstEventMS))
	all.Set("whole_answer_ms", quantilesOf(s.wholeAnswerMS))
	_, err := fmt.Fprintf(w, "{\"hoistrelay\": %s, \"memstats\": %s}\n", all, expvar.Get("memstats"))
	return err
}

func quantilesOf(h *hdrhistogram.Histogram) expvar.Var {
	v := new(expvar.Map).Init()
	for _, q := range []float64{50, 95, 99} {
		n := new(expvar.Int)
		n.Set(h.ValueAtQuantile(q))
		v.Set(fmt.Sprintf("p%.0f", q), n)
	}
	n := new(expvar.Int)
	n.Set(h.TotalCount())
	v.Set("count", n)
	return v
}

package core

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Ranges of the histograms: 1 ms to ten minutes, two significant digits.
const (
	maxLatencyMillis = 600_000
	histogramDigits  = 2
)

// Latencies holds a route's histograms, in milliseconds.
type Latencies struct {
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

func (t *Latencies) recordFirstToken(span clock.Millis) {
	if t.first == nil {
		t.first = hdrhistogram.New(1, maxLatencyMillis, histogramDigits)
	}
	_ = t.first.RecordValue(min(int64(span), maxLatencyMillis))
}

func (t *Latencies) recordTokenGap(span clock.Millis) {
	if t.gap == nil {
		t.gap = hdrhistogram.New(1, maxLatencyMillis, histogramDigits)
	}
	_ = t.gap.RecordValue(min(int64(span), maxLatencyMillis))
}

// FirstToken returns the time to the first token, or to a plain call's answer, at
// a quantile from 0 to 100.
func (t *Latencies) FirstToken(quantile float64) int64 { return valueAt(t.first, quantile) }

// TokenGap returns the time between tokens at a quantile from 0 to 100.
func (t *Latencies) TokenGap(quantile float64) int64 { return valueAt(t.gap, quantile) }

func valueAt(h *hdrhistogram.Histogram, quantile float64) int64 {
	if h == nil {
		return 0
	}
	return h.ValueAtQuantile(quantile)
}

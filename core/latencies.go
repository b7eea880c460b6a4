package core

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hoistjunction/hoistjunction/clock"
)

// The histograms range from 1 ms to ten minutes, with two significant digits.
const (
	maxLatencyMillis = 600_000
	histogramDigits  = 2
)

// Latencies holds the latency histograms of a route, in milliseconds.
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

// FirstToken returns the time to the first token, or to the answer of a plain service, at a
// percentile from 0 to 100, in ms.
func (t *Latencies) FirstToken(quantile float64) int64 { return valueAt(t.first, quantile) }

// TokenGap returns the time between tokens at a percentile from 0 to 100, in ms.
func (t *Latencies) TokenGap(quantile float64) int64 { return valueAt(t.gap, quantile) }

func valueAt(h *hdrhistogram.Histogram, quantile float64) int64 {
	if h == nil {
		return 0
	}
	return h.ValueAtQuantile(quantile)
}

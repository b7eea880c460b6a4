package core

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Ranges of the histograms: 1 ms to ten minutes, two significant digits.
const (
	longestTime = 600_000
	timeDigits  = 2
)

// Times holds a route's histograms, in milliseconds.
type Times struct {
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

func (t *Times) recordFirst(span clock.Millis) {
	if t.first == nil {
		t.first = hdrhistogram.New(1, longestTime, timeDigits)
	}
	_ = t.first.RecordValue(min(int64(span), longestTime))
}

func (t *Times) recordGap(span clock.Millis) {
	if t.gap == nil {
		t.gap = hdrhistogram.New(1, longestTime, timeDigits)
	}
	_ = t.gap.RecordValue(min(int64(span), longestTime))
}

// First returns the time to the first token, or to a plain call's answer, at
// a quantile from 0 to 100.
func (t *Times) First(quantile float64) int64 { return at(t.first, quantile) }

// Gap returns the time between tokens at a quantile from 0 to 100.
func (t *Times) Gap(quantile float64) int64 { return at(t.gap, quantile) }

func at(h *hdrhistogram.Histogram, quantile float64) int64 {
	if h == nil {
		return 0
	}
	return h.ValueAtQuantile(quantile)
}

package overload

import (
	"runtime/metrics"

	"github.com/hoistjunction/hoistjunction/clock"
)

// waitsMetric is the runtime's histogram, in seconds, of how long goroutines were ready before they ran.
const waitsMetric = "/sched/latencies:seconds"

// waitQuantile is the share of the goroutines that waited for at most the time that counts. A timer's
// goroutine runs before those that wait already, so the rest of them would show little.
const waitQuantile = 0.9

// waits reads how long goroutines waited for the processor.
type waits struct {
	samples []metrics.Sample
	// counted holds the counts of the histogram at the last reading.
	counted []uint64
}

func newWaits() *waits { return &waits{samples: []metrics.Sample{{Name: waitsMetric}}} }

// sinceLast returns the time within which waitQuantile of the goroutines ran that became ready since
// the last call; zero if none did.
func (w *waits) sinceLast() clock.Millis {
	metrics.Read(w.samples)
	if w.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := w.samples[0].Value.Float64Histogram()
	if len(w.counted) != len(h.Counts) {
		w.counted = make([]uint64, len(h.Counts))
	}
	var total uint64
	for i, n := range h.Counts {
		w.counted[i], total = n-w.counted[i], total+n-w.counted[i]
	}
	wait := quantile(h.Buckets, w.counted, total)
	copy(w.counted, h.Counts)
	return wait
}

// quantile returns the lower bound, in ms, of the bucket in which waitQuantile of a total lies.
func quantile(bounds []float64, counts []uint64, total uint64) clock.Millis {
	left := float64(total) * (1 - waitQuantile)
	for i := len(counts) - 1; i > 0 && total > 0; i-- {
		left -= float64(counts[i])
		if counts[i] > 0 && left <= 0 {
			return clock.Millis(bounds[i] * 1000)
		}
	}
	return 0
}

package overload

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// Interval is the time between two measurements of the delay, and calmInterval that while the last
	// delay was shorter than calmDelay: each measurement wakes the process.
	Interval     clock.Millis = 25
	calmInterval clock.Millis = 100
	calmDelay    clock.Millis = 5
	// window is how long a measurement counts as one of the last moments.
	window clock.Millis = 300
	// typicalOf is the number of measurements of which the typical delay is the median, so that
	// neither a collection of garbage nor a quota that is spent for a moment counts.
	typicalOf = 8
)

// sample is one measurement.
type sample struct {
	at, delay clock.Millis
}

// Meter holds how late the node's own goroutines ran lately. The zero Meter has measured nothing.
type Meter struct {
	// samples are the last measurements, the oldest first: those in the window, and typicalOf of
	// them at least.
	samples []sample
}

// Next returns the time until the next measurement.
func (m *Meter) Next() clock.Millis {
	if len(m.samples) < typicalOf || m.samples[len(m.samples)-1].delay >= calmDelay {
		return Interval
	}
	return calmInterval
}

// Record records that a goroutine ran at a time, late by a delay.
func (m *Meter) Record(now, delay clock.Millis) {
	old := 0
	for len(m.samples)-old >= typicalOf && m.samples[old].at < now.Sub(window) {
		old++
	}
	m.samples = append(slices.Delete(m.samples, 0, old), sample{at: now, delay: max(delay, 0)})
}

// Delay returns the longest delay of the last moments. A measurement that is overdue counts with the
// time for which it is.
func (m *Meter) Delay(now clock.Millis) clock.Millis {
	if len(m.samples) == 0 {
		return 0
	}
	longest := now.Sub(m.samples[len(m.samples)-1].at.Add(m.Next()))
	for _, s := range m.samples {
		if s.at >= now.Sub(window) {
			longest = max(longest, s.delay)
		}
	}
	return max(longest, 0)
}

// Typical returns the median delay of the last measurements; zero while there are too few.
func (m *Meter) Typical() clock.Millis {
	if len(m.samples) < typicalOf {
		return 0
	}
	var delays [typicalOf]clock.Millis
	for i, s := range m.samples[len(m.samples)-typicalOf:] {
		delays[i] = s.delay
	}
	slices.Sort(delays[:])
	return delays[typicalOf/2]
}

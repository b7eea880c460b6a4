package lab

import "github.com/hoistjunction/hoistjunction/clock"

// attemptTimes are the times at which requests have reached engines for the first time, and again.
type attemptTimes struct{ first, repeated []clock.Millis }

// countArrival counts an arrival of a request.
func (w *world) countArrival(s *session) {
	if !s.reachedEngine {
		s.reachedEngine = true
		w.attemptTimes.first = append(w.attemptTimes.first, w.now)
		return
	}
	w.result.RepeatedArrivals++
	w.attemptTimes.repeated = append(w.attemptTimes.repeated, w.now)
}

// countWithin counts the times in a span, from included and to not.
func countWithin(times []clock.Millis, from, to clock.Millis) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// checkGuarantees tells which promises were broken in the whole run.
func (w *world) checkGuarantees() {
	n := w.scenario.Nodes
	const step = 500
	for from := clock.Millis(0); from < w.scenario.Load.DurationMS; from += step {
		to := from.Add(n.RetryWindowMS)
		most := max(countWithin(w.attemptTimes.first, from, to), countWithin(w.attemptTimes.first, from-n.RetryWindowMS, from), countWithin(w.attemptTimes.first, from-n.RetryWindowMS/2, to-n.RetryWindowMS/2))
		if got := countWithin(w.attemptTimes.repeated, from, to); float64(got) > n.RetryShare*float64(most)+n.RetrySlack {
			w.result.violate("budget", "more repeats in a window than operators allow")
			break
		}
	}
	if w.crashFault.lateAttempts > maxLateAttempts {
		w.result.violate("ends", "a request that ends engines was sent too often after the third")
	}
	w.result.RequestCrashes = len(w.crashFault.crashes)
}

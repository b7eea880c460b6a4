package lab

import "github.com/hoistjunction/hoistjunction/clock"

// attemptTimes are the times at which requests reached an engine for the first time, and again.
type attemptTimes struct{ first, repeated []clock.Millis }

// countArrival records that an attempt of a request has reached an engine.
func (w *world) countArrival(s *session) {
	if !s.reachedEngine {
		s.reachedEngine = true
		w.attemptTimes.first = append(w.attemptTimes.first, w.now)
		return
	}
	w.result.RepeatedArrivals++
	w.attemptTimes.repeated = append(w.attemptTimes.repeated, w.now)
}

// countWithin counts the times t with from <= t < to.
func countWithin(times []clock.Millis, from, to clock.Millis) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// checkGuarantees checks the guarantees that concern the whole run.
func (w *world) checkGuarantees() {
	n := w.scenario.Nodes
	const step = 500
	for from := clock.Millis(0); from < w.scenario.Load.DurationMS; from += step {
		to := from.Add(n.RetryWindowMS)
		firsts := max(countWithin(w.attemptTimes.first, from, to), countWithin(w.attemptTimes.first, from-n.RetryWindowMS, from), countWithin(w.attemptTimes.first, from-n.RetryWindowMS/2, to-n.RetryWindowMS/2))
		if got := countWithin(w.attemptTimes.repeated, from, to); float64(got) > n.RetryShare*float64(firsts)+n.RetrySlack {
			w.result.violate("budget", "more repeated requests in a window than the retry budget allows")
			break
		}
	}
	if w.crashFault.lateAttempts > maxLateAttempts {
		w.result.violate("ends", "request that crashes engines was sent too often after its third crash")
	}
	if w.partFault.lateAttempts > maxLateAttempts {
		w.result.violate("ends", "requests with a part that crashes engines were sent too often after its fifth crash")
	}
	w.result.RequestCrashes = len(w.crashFault.crashes) + len(w.partFault.crashes)
}

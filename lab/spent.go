package lab

import "github.com/hoistjunction/hoistjunction/clock"

// spent are the times at which requests have reached engines for the first time, and again.
type spent struct{ firsts, repeats []clock.Millis }

// count counts an arrival of a request.
func (w *world) count(s *session) {
	if !s.arrived {
		s.arrived = true
		w.spent.firsts = append(w.spent.firsts, w.now)
		return
	}
	w.result.Repeats++
	w.spent.repeats = append(w.spent.repeats, w.now)
}

// within counts the times in a span, from included and to not.
func within(times []clock.Millis, from, to clock.Millis) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// judge tells which promises were broken in the whole run.
func (w *world) judge() {
	n := w.scenario.Nodes
	const step = 500
	for from := clock.Millis(0); from < w.scenario.Load.ForMS; from += step {
		to := from.Add(n.WindowMS)
		most := max(within(w.spent.firsts, from, to), within(w.spent.firsts, from-n.WindowMS, from), within(w.spent.firsts, from-n.WindowMS/2, to-n.WindowMS/2))
		if got := within(w.spent.repeats, from, to); float64(got) > n.RetryShare*float64(most)+n.RetrySlack {
			w.result.breach("budget", "more repeats in a window than operators allow")
			break
		}
	}
	if w.deadly.late > mostLate {
		w.result.breach("ends", "a request that ends engines was sent too often after the third")
	}
	w.result.DeadlyEnds = len(w.deadly.ends)
}

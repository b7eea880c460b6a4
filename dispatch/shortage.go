package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// shortageEnds is after how long without a refusal a shortage is over.
	shortageEnds clock.Millis = 1000
	// longestBack bounds the time after which a refused caller is told to come
	// back: gaps in the layers are closed within some three seconds.
	longestBack clock.Millis = 4000
	// leastSpread and spread set the callers that come back apart: each waits for
	// its own part of the time, so that they do not all return at once.
	leastSpread = 0.75
	spread      = 0.5
)

// shortage is a span in which requests of a service were refused for want of
// something that may come back.
type shortage struct {
	since clock.Millis
	last  clock.Millis
}

// note takes in a refusal, and returns for how long the shortage has lasted.
func (s *shortage) note(now clock.Millis) clock.Millis {
	if now > s.last.Add(shortageEnds) {
		s.since = now
	}
	s.last = now
	return now.Sub(s.since)
}

// comeBack is when a refused caller should come back: a shortage that has lasted
// for some time is likely to last as long again.
func (m *Model) comeBack(r *request, reason Reason) clock.Millis {
	least := backSoon
	if reason == ReasonNoHolder || reason == ReasonNoUpstream {
		least = backHealing
	}
	s := m.shortages[r.service.Name]
	if s == nil {
		s = &shortage{since: m.now, last: m.now}
		m.shortages[r.service.Name] = s
	}
	lasted := float64(s.note(m.now)) * (leastSpread + spread*position(r.msg.CallerID))
	return min(max(least, clock.Millis(lasted)), longestBack)
}

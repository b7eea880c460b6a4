package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// outageQuietTime is after how long without a refusal a shortage is over.
	outageQuietTime clock.Millis = 1000
	// maxCoverageGap bounds for how long a gap in the layers is expected to last.
	maxCoverageGap clock.Millis = 10_000
	// maxRetryAfter bounds the time after which a refused caller is told to come
	// back: gaps in the layers are closed within some three seconds.
	maxRetryAfter clock.Millis = 4000
	// minOutageFactor and spread set the callers that come back apart: each waits for
	// its own part of the time, so that they do not all return at once.
	minOutageFactor = 0.75
	outageSpread    = 0.5
)

// outage is a span in which requests of a service were refused for want of
// something that may come back.
type outage struct {
	startedAt     clock.Millis
	lastRefusalAt clock.Millis
}

// recordRefusal takes in a refusal, and returns for how long the shortage has lasted.
func (s *outage) recordRefusal(now clock.Millis) clock.Millis {
	if now > s.lastRefusalAt.Add(outageQuietTime) {
		s.startedAt = now
	}
	s.lastRefusalAt = now
	return now.Sub(s.startedAt)
}

const (
	// usableTimeShare is the part of the time that a caller has left within which it should come
	// back: the rest is for the answer.
	usableTimeShare = 0.75
	// cappedTimeShare is the part that it is told where what it lacks is expected later: nobody
	// knows for certain, and one that comes back after its time is never served.
	cappedTimeShare = 1.0 / 3
)

// capRetryAfter is when a caller should come back by an estimate, in the time that it has left.
func (r *request) capRetryAfter(now, back clock.Millis) clock.Millis {
	left := float64(r.clientDeadline.Sub(now))
	if r.arrival.Remaining <= 0 || float64(back) <= usableTimeShare*left {
		return back
	}
	return max(clock.Millis(cappedTimeShare*left), 0)
}

// retryAfter is when a refused caller should come back: a shortage that has lasted
// for some time is likely to last as long again.
func (m *Model) retryAfter(r *request, reason Reason, lack *MissingResource) clock.Millis {
	if reason == ReasonNoHolder {
		if healed := m.coverageRetryAfter(r, lack); healed > 0 {
			return healed
		}
	}
	if reason == ReasonNoSlot {
		return shortRetryAfter
	}
	least := shortRetryAfter
	if reason == ReasonNoHolder || reason == ReasonNoUpstream {
		least = coverageGapRetryAfter
	}
	lasted := float64(m.outageDuration(m.outages, r)) * (minOutageFactor + outageSpread*hashPosition(r.arrival.CallerID))
	return min(max(least, clock.Millis(lasted)), maxRetryAfter)
}

// outageDuration notes a refusal, and returns for how long there have been such of the service.
func (m *Model) outageDuration(shortages map[string]*outage, r *request) clock.Millis {
	s := shortages[r.service.Name]
	if s == nil {
		s = &outage{startedAt: m.now, lastRefusalAt: m.now}
		shortages[r.service.Name] = s
	}
	return s.recordRefusal(m.now)
}

// coverageRetryAfter is when a caller should come back that was refused since layers have no engine:
// once they have been loaded by another one, which takes the planners some 1.2 s beside the
// load itself, and a little spread out. Zero where they should have been by now. A caller
// that is told less is refused again, as two in three were that came back after 1.5 s.
func (m *Model) coverageRetryAfter(r *request, lack *MissingResource) clock.Millis {
	p := r.service.Pipeline
	if p == nil || lack == nil {
		return 0
	}
	load := p.LoadMS * float64(lack.Layers.Len()) / float64(max(p.Layers, 1))
	left := min(coverageGapRetryAfter+clock.Millis(load), maxCoverageGap) - m.outageDuration(m.coverageGaps, r)
	if left < shortRetryAfter {
		return 0
	}
	return left + clock.Millis(outageSpread*hashPosition(r.arrival.CallerID)*load)
}

package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// outageQuietTime is the time without a refusal after which an outage is over.
	outageQuietTime clock.Millis = 1000
	// maxCoverageGap bounds the expected duration of a coverage gap.
	maxCoverageGap clock.Millis = 10_000
	// maxRetryAfter bounds the Retry-After time: coverage gaps are closed within some three
	// seconds.
	maxRetryAfter clock.Millis = 4000
	// minOutageFactor and outageSpread spread client retries: each client waits for its own
	// multiple of the outage's duration, so that they do not all retry at once.
	minOutageFactor = 0.75
	outageSpread    = 0.5
)

// outage is a time span in which requests of a service were refused for a reason that may pass.
type outage struct {
	startedAt     clock.Millis
	lastRefusalAt clock.Millis
}

// recordRefusal adds a refusal and returns the duration of the outage so far.
func (o *outage) recordRefusal(now clock.Millis) clock.Millis {
	if now > o.lastRefusalAt.Add(outageQuietTime) {
		o.startedAt = now
	}
	o.lastRefusalAt = now
	return now.Sub(o.startedAt)
}

const (
	// usableTimeShare is the share of the client's remaining time within which it should retry;
	// the rest is for the answer.
	usableTimeShare = 0.75
	// cappedTimeShare is the share of the client's remaining time after which it should retry if
	// the missing resource is expected later than that. The expectation is uncertain, and a
	// client that retries after its deadline is never served.
	cappedTimeShare = 1.0 / 3
)

// capRetryAfter limits an estimated Retry-After time to the client's remaining time.
func (r *request) capRetryAfter(now, estimate clock.Millis) clock.Millis {
	remaining := float64(r.clientDeadline.Sub(now))
	if r.arrival.Remaining <= 0 || float64(estimate) <= usableTimeShare*remaining {
		return estimate
	}
	return max(clock.Millis(cappedTimeShare*remaining), 0)
}

// retryAfter returns the Retry-After time of a refused request. An outage is expected to last as
// long again as it has lasted.
func (m *Model) retryAfter(r *request, reason Reason, missing *MissingResource) clock.Millis {
	if reason == ReasonNoHolder {
		if gapLeft := m.coverageRetryAfter(r, missing); gapLeft > 0 {
			return gapLeft
		}
	}
	if reason == ReasonNoSlot {
		return shortRetryAfter
	}
	least := shortRetryAfter
	if reason == ReasonNoHolder || reason == ReasonNoUpstream {
		least = coverageGapRetryAfter
	}
	expected := float64(m.outageDuration(m.outages, r)) * (minOutageFactor + outageSpread*hashPosition(r.arrival.CallerID))
	return min(max(least, clock.Millis(expected)), maxRetryAfter)
}

// outageDuration records a refusal and returns the duration of the service's outage so far.
func (m *Model) outageDuration(outages map[string]*outage, r *request) clock.Millis {
	o := outages[r.service.Name]
	if o == nil {
		o = &outage{startedAt: m.now, lastRefusalAt: m.now}
		outages[r.service.Name] = o
	}
	return o.recordRefusal(m.now)
}

// coverageRetryAfter returns the Retry-After time of a request that was refused because layers
// have no engine: the time until another engine has loaded them, with a small spread. The
// placement planners need some 1.2 s in addition to the load. It returns zero if the layers
// should have been loaded by now. Shorter times only lead to further refusals, as for two in
// three of the clients that retried after 1.5 s.
func (m *Model) coverageRetryAfter(r *request, missing *MissingResource) clock.Millis {
	p := r.service.Pipeline
	if p == nil || missing == nil {
		return 0
	}
	load := p.LoadMS * float64(missing.Layers.Len()) / float64(max(p.Layers, 1))
	remaining := min(coverageGapRetryAfter+clock.Millis(load), maxCoverageGap) - m.outageDuration(m.coverageGaps, r)
	if remaining < shortRetryAfter {
		return 0
	}
	return remaining + clock.Millis(outageSpread*hashPosition(r.arrival.CallerID)*load)
}

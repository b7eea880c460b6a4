package dispatch

import (
	"math"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// outageQuietTime is the time without a refusal after which an outage is over.
	outageQuietTime clock.Millis = 1000
	// maxCoverageGap bounds the expected duration of a coverage gap.
	maxCoverageGap clock.Millis = 10_000
	// maxRetryAfter bounds the Retry-After time: coverage gaps are closed within some three
	// seconds.
	maxRetryAfter clock.Millis = 4000
	// minOutageFactor and outageSpread spread client retries: each client waits for its own
	// multiple of the outage's duration, the more urgent a shorter one, so that they do not all
	// retry at once.
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

// honouredTimeShare is the share of its remaining time up to which a client honours a Retry-After
// time. It ignores a longer one.
const honouredTimeShare = 1.0 / 3

// capRetryAfter limits an estimated Retry-After time to the longest one that is of use to the
// client. The estimate is uncertain, so a client that cannot wait for it returns as late as it can.
// Such clients return as far apart as they were refused.
func (m *Model) capRetryAfter(r *request, estimate clock.Millis) clock.Millis {
	longest := m.longestRetryAfter(r)
	if r.arrival.Remaining <= 0 || estimate <= longest {
		return estimate
	}
	return max(longest, 0)
}

// longestRetryAfter returns the longest Retry-After time that the client honours and after which it
// can still be served: the first event of a pipeline's answer must come before its deadline, and
// before it leaves the stream.
func (m *Model) longestRetryAfter(r *request) clock.Millis {
	remaining := r.clientDeadline.Sub(m.now)
	longest := clock.Millis(honouredTimeShare * float64(remaining))
	if r.service.Pipeline == nil {
		return longest
	}
	firstEvent := clock.Millis(math.Ceil(m.minFirstEvent(r)))
	if r.route.Kind == catalog.Streaming && firstEvent > eventPatience(r.route) {
		return 0
	}
	return min(longest, remaining.Sub(max(firstEvent, refusalMargin)))
}

// retryAfter returns the Retry-After time of a refused request: the predicted time until those that
// wait for capacity have been sent. If none wait, an outage is expected to last as long again as it
// has lasted.
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
	if reason == ReasonNoHolder || reason == ReasonNoUpstream || reason == ReasonNoPath {
		least = coverageGapRetryAfter
	}
	lack := m.outageDuration(m.outages, r)
	if reason == ReasonNoMemory && m.capacityWaitsEnabled() {
		lack = max(m.expectedCapacityWait(r), lack)
	}
	expected := float64(lack) * (minOutageFactor + outageSpread*r.retryPosition())
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
	return remaining + clock.Millis(outageSpread*r.retryPosition()*load)
}

package dispatch

import (
	"math"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// refusalMargin is the time that a refusal needs to reach the client before it disconnects.
const refusalMargin clock.Millis = 50

// mayAwaitCapacity reports whether a request that lacks capacity may wait for it: the lack may
// pass, and the request can still be served before its client leaves.
func (m *Model) mayAwaitCapacity(r *request, reason Reason) bool {
	if !m.capacityWaitsEnabled() || r.service.Pipeline == nil || !waitsForCapacity(reason) || r.capacity.ended || r.capacity.hasFailure || !m.timeToWait(r) {
		return false
	}
	if r.waits() && r.capacity.reason == reason {
		return true
	}
	switch reason {
	case ReasonNoHolder:
		loaded, ok := m.missingLayersLoaded(r)
		return ok && loaded > m.now && loaded <= m.latestSend(r) && !m.upstreamsRefuse(r)
	case ReasonNoMemory:
		return m.now.Add(m.expectedCapacityWait(r)) <= m.latestSend(r) && !m.upstreamsRefuse(r)
	case ReasonHeldBack:
		return m.now.Add(r.admissionDecision.Wait) <= m.latestSend(r)
	case ReasonOverFairShare:
		return m.now.Add(m.expectedShareWait(r)) <= m.latestSend(r)
	default:
		return true
	}
}

// capacityWaitsEnabled reports whether the operator lets requests wait for capacity.
func (m *Model) capacityWaitsEnabled() bool {
	return m.policy.MaxWaiting > 0 && m.policy.MaxWaitingBytes > 0
}

// upstreamsRefuse reports whether back-offs or rate limits of engines keep a request from being
// sent. Their ends are known to clients by Retry-After.
func (m *Model) upstreamsRefuse(r *request) bool {
	if len(m.limitedUpstreams(r)) > 0 {
		return true
	}
	_, waits := m.servableAfterBackOff(r)
	return waits
}

// timeToWait reports whether a request may wait until the next review.
func (m *Model) timeToWait(r *request) bool {
	return m.now.Add(capacityReviewInterval) <= m.latestSend(r)
}

// clientLeavesAt returns when the client of a request without an answer disconnects. The client of a
// stream does not wait for its deadline.
func (r *request) clientLeavesAt() clock.Millis {
	end := min(r.clientDeadline, r.giveUp)
	if r.route.Kind != catalog.Streaming {
		return end
	}
	return min(end, r.receivedAt.Add(eventPatience(r.route)))
}

// latestSend returns the last time at which sending a request can serve it: before its client
// leaves and, during a planned stop, so long before the node ends that the answer is complete.
func (m *Model) latestSend(r *request) clock.Millis {
	latest := m.latestSendForClient(r)
	if m.stop.begun {
		latest = min(latest, m.stop.end.Sub(m.expectedDuration(r)))
	}
	return latest
}

// latestSendForClient returns the last time at which sending a request can serve it before its
// client leaves. It also leaves a refusal the time to reach the client.
func (m *Model) latestSendForClient(r *request) clock.Millis {
	firstEvent := clock.Millis(math.Ceil(m.minFirstEvent(r)))
	return r.clientLeavesAt().Sub(max(firstEvent, refusalMargin))
}

// minFirstEvent returns the time to the first event of a request on an idle chain of the fastest
// engines, in ms.
func (m *Model) minFirstEvent(r *request) float64 {
	p := r.service.Pipeline
	fastest := math.Inf(1)
	for _, a := range p.Accelerators {
		fastest = min(fastest, p.Pass().FirstTokenTime(float64(r.arrival.PromptTokens), p.StepTime(a, p.Layers), p.ReadTime(a, p.Layers)))
	}
	if math.IsInf(fastest, 1) {
		return 0
	}
	return fastest
}

// expectedCapacityWait estimates the time until the requests ahead of a new one have been sent,
// if each request of this node that ends lets one be sent. It is zero if none is in progress, as
// nothing is known then.
func (m *Model) expectedCapacityWait(r *request) clock.Millis {
	ahead := m.capacityQueue(r.service.Name).lanes[engineLane].turnsBefore(r)
	sent := 0
	for _, u := range m.byService[r.service.Name] {
		sent += u.inFlight
	}
	if sent == 0 {
		return 0
	}
	return clock.Millis(float64(ahead) * m.meanStreamTime / float64(sent))
}

// expiryReason returns the reason for refusing a waiting request whose time is up.
func (m *Model) expiryReason(r *request) Reason {
	if m.stop.begun && m.now.Add(capacityReviewInterval) <= m.latestSendForClient(r) {
		return ReasonStopping
	}
	return r.capacity.reason
}

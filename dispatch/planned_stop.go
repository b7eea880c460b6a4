package dispatch

import (
	"maps"
	"net/http"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// streamTimeMargin is the factor by which a stream may last longer than expected before the
	// node ends: the clients' length hints are right at the median only.
	streamTimeMargin = 1.5
	// plainTimeMargin is the same for the mean latency of a plain request's service, and plainAimMargin for its
	// latency objective.
	plainTimeMargin = 1.5
	plainAimMargin  = 2
	// stopRetryAfter is the Retry-After time of a stopping node. Its client can be served by another
	// node at once.
	stopRetryAfter clock.Millis = 50
)

// EndRequestCmd ends a request because the node ends. Answer is what the client gets if its answer has
// not begun; otherwise the answer is broken off.
type EndRequestCmd struct{ Answer RespondCmd }

func (EndRequestCmd) dispatchCmd() {}

// plannedStop is the state of a planned stop of this node.
type plannedStop struct {
	begun bool
	// lateFrom is when new requests no longer come from the platform's balancer, and end is when the
	// node ends the requests that are still in progress.
	lateFrom, end clock.Millis
}

// drain begins a planned stop: the waiting requests that cannot be served before the node ends
// are refused, so that their clients reach other nodes in time.
func (m *Model) drain(msg DrainMsg) []Cmd {
	// A short grace period ends before the platform has deregistered the node.
	m.stop = plannedStop{begun: true, lateFrom: min(msg.LateFrom, msg.End), end: msg.End}
	return m.reviewCapacityWaiters()
}

// refuseAtStop refuses a new request that a stopping node may not be able to finish. A stream that can
// be resumed at another node is taken until the platform has deregistered this one: where many nodes
// stop, a refused client may meet one of them again.
func (m *Model) refuseAtStop(r *request) []Cmd {
	if !m.stop.begun || m.endsInTime(r) || m.now < m.stop.lateFrom && r.route.Kind == catalog.Streaming && r.route.MayRepeat() {
		return nil
	}
	return m.refuse(r.arrival.Request, http.StatusServiceUnavailable, ReasonStopping, stopRetryAfter)
}

// endsInTime reports whether a new request ends before a stopping node does: by its own deadline or,
// until the platform has deregistered the node, as expected.
func (m *Model) endsInTime(r *request) bool {
	return m.now.Add(r.timeLeft(m.now)) <= m.stop.end || m.now < m.stop.lateFrom && m.now.Add(m.expectedDuration(r)) <= m.stop.end
}

// expectedDuration returns how long a request may be in progress, with a margin.
func (m *Model) expectedDuration(r *request) clock.Millis {
	if r.route.Kind != catalog.Streaming {
		return max(plainAimMargin*r.route.LatencyTarget, clock.Millis(plainTimeMargin*m.meanServiceLatency(r.service.Name)))
	}
	duration := m.meanStreamTime
	if tokens := r.arrival.expectedAnswerTokens(); tokens > 0 && m.meanAnswerTokens > 0 {
		duration *= tokens / m.meanAnswerTokens
	}
	return clock.Millis(streamTimeMargin * duration)
}

// meanServiceLatency returns the mean latency in ms of a service's healthy upstreams; zero if there is none.
func (m *Model) meanServiceLatency(service string) float64 {
	sum, healthy := 0.0, 0.0
	for _, u := range m.byService[service] {
		if u.healthy() {
			sum += u.meanLatency
			healthy++
		}
	}
	return sum / max(healthy, 1)
}

// endRequests ends the requests that are still in progress, so that each client learns whether its
// request may have been executed.
func (m *Model) endRequests() []Cmd {
	var cmds []Cmd
	for _, d := range m.deferred {
		cmds = append(cmds, EndRequestCmd{Answer: m.response(d.arrival.Request, http.StatusServiceUnavailable, ReasonStopping, stopRetryAfter)})
	}
	m.deferred, m.deferredBytes = nil, 0
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if r.hasLeft() {
			r.executions++
		}
		answer := m.response(id, http.StatusServiceUnavailable, ReasonStopping, stopRetryAfter)
		answer.Reason = ReasonStopping
		cmds = append(cmds, m.endCapacityWait(r, WaitRefused)...)
		m.dropRequest(id)
		cmds = append(cmds, EndRequestCmd{Answer: answer})
	}
	return cmds
}

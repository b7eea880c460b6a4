package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// maxStartDeferral bounds the time after the node's start for which requests wait for the
	// configuration and the list of upstreams. It exceeds minPatience, so that a request that
	// arrives with the start can wait for as long as its caller does. A node that lacks both then
	// probably cannot reach the store, and a caller that is refused can retry at another node.
	maxStartDeferral clock.Millis = 3000
	// maxQuarantineDeferral bounds the time after the first list for which requests wait for the stored
	// quarantine, without which they can be served. It is below the latency objective of streams. The
	// store may have been away at the start, so the time does not count from there.
	maxQuarantineDeferral clock.Millis = 400
	// serviceTime is the part of a caller's patience that is left for serving a deferred request:
	// latency objectives are up to 0.5 s.
	serviceTime clock.Millis = 500
	// maxDeferred and maxDeferredBytes bound the deferred requests. A node receives two or three
	// requests per second; the smallest VM has 136 MB of memory.
	maxDeferred      = 256
	maxDeferredBytes = 8 << 20
)

// deferredArrival is a request that arrived before the node had its initial state.
type deferredArrival struct {
	arrival    ArriveMsg
	deferredAt clock.Millis
	// until is when the request is handled even without the initial state.
	until clock.Millis
}

// lacksInitialState reports whether requests that arrive now should wait until the node has the
// configuration, a list of upstreams and the stored quarantine. The node's clock starts at 0 with
// the process.
func (m *Model) lacksInitialState() bool {
	if m.catalog == nil || len(m.upstreams) == 0 {
		return m.now < maxStartDeferral
	}
	return m.awaitsComparison(m.now) || m.awaitsStoredQuarantine && m.now < m.firstListAt.Add(maxQuarantineDeferral)
}

// recordFleet applies changes of the list of upstreams, and records when it first has an entry.
func (m *Model) recordFleet(msg FleetMsg) []Cmd {
	hadNone := len(m.upstreams) == 0
	cmds := m.setFleet(msg)
	if hadNone && len(m.upstreams) > 0 && !m.hasHadList {
		m.hasHadList, m.firstListAt = true, m.now
	}
	return cmds
}

// ConfigComparedMsg reports that the configuration that the node has first was compared with those of
// other nodes.
type ConfigComparedMsg struct{}

// WithConfigComparison makes requests wait until a ConfigComparedMsg, for maxStartDeferral at the most: the
// store may have been restored from a backup that is older than what other nodes remember.
func WithConfigComparison() Option { return func(m *Model) { m.configUncompared = true } }

// awaitsComparison reports whether the configuration may be older than that of other nodes.
func (m *Model) awaitsComparison(now clock.Millis) bool {
	return m.configUncompared && now < maxStartDeferral
}

// configCompared handles the end of the comparison.
func (m *Model) configCompared() []Cmd {
	m.configUncompared = false
	return m.processDeferred()
}

// deferArrival defers a request while the node lacks its initial state, and reports whether it
// did. It does not defer a request that the configuration refuses whatever the list contains.
func (m *Model) deferArrival(msg ArriveMsg) bool {
	if msg.Forwarded != nil || m.stop.begun || !m.lacksInitialState() || !m.mayBeAccepted(msg) {
		return false
	}
	if len(m.deferred) >= maxDeferred || m.deferredBytes+msg.BodyBytes > maxDeferredBytes {
		return false
	}
	m.deferredBytes += msg.BodyBytes
	m.deferred = append(m.deferred, deferredArrival{arrival: msg, deferredAt: m.now, until: m.now.Add(maxDeferral(msg))})
	return true
}

// maxDeferral returns how long a request may wait so that its caller can still be served.
func maxDeferral(msg ArriveMsg) clock.Millis {
	patience := minPatience
	if msg.Remaining > 0 {
		patience = min(patience, msg.Remaining)
	}
	return patience - min(serviceTime, patience/2)
}

// processDeferred handles the deferred requests that need not or cannot wait any longer: all of
// them once the initial state is complete, and before that those which the configuration refuses
// and those whose time is over.
func (m *Model) processDeferred() []Cmd {
	if len(m.deferred) == 0 {
		return nil
	}
	waiting := m.deferred
	m.deferred, m.deferredBytes = nil, 0
	var cmds []Cmd
	for _, e := range waiting {
		if m.lacksInitialState() && m.now < e.until && m.mayBeAccepted(e.arrival) {
			m.deferred, m.deferredBytes = append(m.deferred, e), m.deferredBytes+e.arrival.BodyBytes
			continue
		}
		if e.arrival.Remaining > 0 {
			e.arrival.Remaining = max(e.arrival.Remaining-m.now.Sub(e.deferredAt), 1)
		}
		cmds = append(cmds, m.accept(e.arrival, e.deferredAt)...)
	}
	return cmds
}

// dropDeferred drops a deferred request whose client disconnected.
func (m *Model) dropDeferred(id RequestID) {
	m.deferred = slices.DeleteFunc(m.deferred, func(e deferredArrival) bool {
		if e.arrival.Request != id {
			return false
		}
		m.deferredBytes -= e.arrival.BodyBytes
		return true
	})
}

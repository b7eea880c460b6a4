package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// maxStartDeferral bounds the time after the node's start for which requests wait for the
// configuration and the list of upstreams. When 295 nodes started at the same moment, all had
// both within 0.22 s. A latency objective of 0.5 s or more leaves that much time.
const maxStartDeferral clock.Millis = 400

// deferredArrival is a request that arrived before the node had its initial state.
type deferredArrival struct {
	arrival    ArriveMsg
	deferredAt clock.Millis
}

// defersArrivals reports whether new requests wait for the initial state. The node's clock starts
// at 0 with the process.
func (m *Model) defersArrivals() bool { return !m.hasInitialState() && m.now < maxStartDeferral }

// hasInitialState reports whether the node has a configuration, a list of upstreams and the
// stored quarantine.
func (m *Model) hasInitialState() bool {
	return m.catalog != nil && len(m.upstreams) > 0 && !m.awaitsStoredQuarantine
}

// processDeferred handles the deferred requests once the initial state is complete or
// maxStartDeferral has passed.
func (m *Model) processDeferred() []Cmd {
	if len(m.deferred) == 0 || m.defersArrivals() {
		return nil
	}
	waiting := m.deferred
	m.deferred = nil
	var cmds []Cmd
	for _, e := range waiting {
		if e.arrival.Remaining > 0 {
			e.arrival.Remaining = max(e.arrival.Remaining-m.now.Sub(e.deferredAt), 1)
		}
		cmds = append(cmds, m.arrive(e.arrival, e.deferredAt)...)
	}
	return cmds
}

// dropDeferred drops a deferred request whose client disconnected.
func (m *Model) dropDeferred(id RequestID) {
	m.deferred = slices.DeleteFunc(m.deferred, func(e deferredArrival) bool { return e.arrival.Request == id })
}

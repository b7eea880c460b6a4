package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// maxStartDeferral is for how long after its start a node lets requests wait that come
// before it knows the configuration and the list. With 295 nodes that start at the same
// moment all knew both within 0.22 s. An aim of 0.5 s and more leaves that much.
const maxStartDeferral clock.Millis = 400

// deferredArrival is a request that has come before the node could decide on it.
type deferredArrival struct {
	arrival    ArriveMsg
	deferredAt clock.Millis
}

// defersArrivals tells whether a request is to wait until the node knows what it needs.
// The clock begins with the process.
func (m *Model) defersArrivals() bool { return !m.hasInitialState() && m.now < maxStartDeferral }

// hasInitialState tells whether the node knows a configuration, a list, and the requests that
// were in quarantine.
func (m *Model) hasInitialState() bool {
	return m.catalog != nil && len(m.upstreams) > 0 && !m.awaitsStoredQuarantine
}

// processDeferred takes up the requests that have waited for the node's start, once it knows
// what it needs or will not know it soon.
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
		cmds = append(cmds, m.arrive(e.arrival)...)
	}
	return cmds
}

// dropDeferred drops a waiting request whose caller has left.
func (m *Model) dropDeferred(id RequestID) {
	m.deferred = slices.DeleteFunc(m.deferred, func(e deferredArrival) bool { return e.arrival.Request == id })
}

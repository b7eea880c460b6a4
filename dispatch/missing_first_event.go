package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

// When an engine crashes without closing its connections, streams through it can also delay the
// engines before it, which answer reports as usual. New streams of all nodes then wait on the same
// engines for seconds, and no report names the fault. Attempts without a first event are the only
// sign of it.
const (
	// missingEventWindow is how long the engines of an attempt without a first event are avoided. A
	// node with two requests per second sends about three in that time.
	missingEventWindow clock.Millis = 1500
	// missingEventPenalty is added to the cost of such an engine, in ms per token. Two of them
	// outweigh a first stage in another data centre.
	missingEventPenalty = 8.0
	// missingEventFactor is how many times the predicted time an attempt must have taken. Engines
	// with too much to read are late by less, since the prediction counts what waits there. Avoiding
	// them too would move the load of all nodes to the next engines at once.
	missingEventFactor = 10
)

// recordMissingFirstEvent makes new requests avoid the engines of an attempt without a first event if
// its prediction has clearly failed. It applies to data centres of many nodes only.
func (m *Model) recordMissingFirstEvent(r *request) {
	if !m.manyNodes || !r.boundsPauses() || m.now.Sub(r.sentAt) < missingEventFactor*r.predictedFirstEvent {
		return
	}
	for _, p := range r.chain {
		if u := m.upstreams[p.ID]; u != nil {
			u.avoidedForNoEventUntil = m.now.Add(missingEventWindow)
		}
	}
}

// clearMissingFirstEvent ends the avoidance of a stream's engines, since its first event has come
// through all of them.
func (m *Model) clearMissingFirstEvent(r *request) {
	for _, p := range r.chain {
		if u := m.upstreams[p.ID]; u != nil {
			u.avoidedForNoEventUntil = 0
		}
	}
}

// missingEventCost returns the cost of an engine because of attempts without a first event.
func (u *upstream) missingEventCost(now clock.Millis) float64 {
	if now < u.avoidedForNoEventUntil {
		return missingEventPenalty
	}
	return 0
}

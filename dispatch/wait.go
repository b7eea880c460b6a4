package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// A client cancels a stream after a pause of several times its latency objectives, and of
// minPatience at least. A stream that waits to be resumed is kept until its client has canceled
// it and patienceMargin longer, since aborting it earlier would end it while the client still
// waits.
const (
	patienceAims                 = 4
	patienceGapAims              = 8
	minPatience     clock.Millis = 2000
	patienceMargin  clock.Millis = 600
)

// eventPatience returns how long a client waits for the next event of a stream before it
// disconnects.
func eventPatience(route *catalog.Route) clock.Millis {
	return max(minPatience, patienceAims*route.LatencyTarget, patienceGapAims*route.EventGapTarget)
}

// clientPatience returns how long a stream that has begun is kept for its client.
func clientPatience(route *catalog.Route) clock.Millis { return eventPatience(route) + patienceMargin }

// waitsForCapacity reports whether the lack of capacity that a reason states may pass soon enough
// for a request to wait for it.
func waitsForCapacity(reason Reason) bool {
	return reason == ReasonNoMemory || reason == ReasonNoHolder || reason == ReasonNoPath || reason == ReasonNoRetryBudget || reason == ReasonHeldBack || reason == ReasonOverFairShare
}

// waitOrAbort lets a stream that has begun wait if it cannot be resumed at the moment: engines
// finish loading layers, other streams end and free memory, and the retry budget refills. The
// stream is aborted only after its client should have disconnected.
func (m *Model) waitOrAbort(r *request, reason Reason) []Cmd {
	if r.waitUntil == 0 {
		r.waitUntil = m.now.Add(clientPatience(r.route))
	}
	if waitsForCapacity(reason) && m.now < r.waitUntil {
		r.progress, r.waitReason = interrupted, reason
		clear(r.askedNodes)
		r.afterBackOff = len(m.backOffEnds(r)) > 0
		return nil
	}
	return m.abort(r.arrival.Request, reason)
}

// resumeStreams tries again to send the waiting streams.
func (m *Model) resumeStreams() []Cmd {
	var cmds []Cmd
	remaining := resumesPerTick
	for _, r := range m.waitingStreams() {
		if r.afterBackOff && remaining == 0 {
			continue
		}
		reason := r.waitReason
		r.progress = undecided
		if reason == ReasonNoRetryBudget && !m.takeRetry(r) {
			cmds = append(cmds, m.waitOrAbort(r, reason)...)
			continue
		}
		next := m.resend(r)
		if r.afterBackOff && r.hasLeft() {
			remaining--
		}
		cmds = append(cmds, next...)
	}
	return cmds
}

// waitingStreams returns the waiting streams by priority.
func (m *Model) waitingStreams() []*request {
	var list []*request
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r := m.requests[id]; r.progress == interrupted {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int { return cmp.Compare(a.priority(), b.priority()) })
	return list
}

// resend tries to send a request. One that has been let in is not asked for its key again.
func (m *Model) resend(r *request) []Cmd {
	if !r.admittance.settled {
		if cmds := m.checkKey(r); cmds != nil {
			return cmds
		}
	}
	return m.send(r)
}

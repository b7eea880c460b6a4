package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// execution is what is known of an upstream's run of a request, or of what may be one.
type execution struct {
	cause Cause
	// crashed tells that the upstream has ended since. The operator's bound is not for
	// those.
	crashed bool
}

// recordExecution takes in that the upstream of a failed attempt has run the request, or may
// have. A stream that was taken back for want of an event may have run as well: an
// engine that has hung says nothing of it.
func (m *Model) recordExecution(r *request, msg AttemptFailedMsg) {
	if msg.Cause != CauseUnknown && msg.Cause != CauseNoProgress && msg.Cause != CauseUpstreamFailed {
		return
	}
	r.executions++
	if r.firstUpstream == nil {
		return
	}
	u := r.firstUpstream
	left := u.entry.Leaving || m.upstreams[u.entry.ID] == nil
	r.executedOn[u.entry.ID] = execution{cause: msg.Cause, crashed: u.crashed || u.unresponsive || left && msg.Cause == CauseUnknown}
}

// entryRemoved takes in that an upstream's entry has gone. That alone is no end: some serve
// on for seconds without one. It is the end of one that broke off what it ran, or that
// answers nothing.
func (m *Model) entryRemoved(u *upstream) {
	for _, r := range m.requests {
		if at, ok := r.executedOn[u.entry.ID]; ok && (at.cause == CauseUnknown || u.unresponsive) {
			at.crashed = true
			r.executedOn[u.entry.ID] = at
		}
	}
}

// crashConfirmed takes in that an upstream's process has ended for certain, and has what is
// under way there given up at once: engines that wait for it stand still for seconds, and
// whoever has its address now knows nothing of the request.
func (m *Model) crashConfirmed(u *upstream) []Cmd {
	u.crashed = true
	delete(m.departingSince, u.entry.ID)
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if at, ok := r.executedOn[u.entry.ID]; ok {
			at.crashed = true
			r.executedOn[u.entry.ID] = at
		}
		if r.firstUpstream == u || r.passesThrough(u.entry.ID) {
			cmds = append(cmds, RecheckAttemptCmd{Request: id, Attempt: r.attempts, SuspectedAddress: u.entry.Address, Crashed: true})
		}
	}
	return cmds
}

// hasCrashed tells whether an upstream has ended since its run of a request.
func (m *Model) hasCrashed(id fleet.Incarnation, at execution) bool {
	u := m.upstreams[id]
	return at.crashed || u != nil && u.unresponsive
}

// countedExecutions is how many upstreams have run the request, without those that have ended.
func (m *Model) countedExecutions(r *request) int {
	n := 0
	for id, at := range r.executedOn {
		if !m.hasCrashed(id, at) {
			n++
		}
	}
	return n
}

// upstreamBoundReached tells whether only upstreams that have run the request may run it.
func (m *Model) upstreamBoundReached(r *request) bool {
	return m.countedExecutions(r) >= r.maxUpstreams()
}

// mayExecuteOn tells whether an upstream may get the request without exceeding the
// number of upstreams that may run it.
func (r *request) mayExecuteOn(u *upstream) bool {
	return r.executedBy(u) || len(r.executedOn) < r.maxUpstreams()
}

// executedBy tells whether an upstream has run the request.
func (r *request) executedBy(u *upstream) bool {
	_, ok := r.executedOn[u.entry.ID]
	return ok
}

// maxUpstreams is how many upstreams may run the request.
func (r *request) maxUpstreams() int { return max(r.route.MaxAttempts, 1) }

// mayExecuteAgain tells whether the operator's bound leaves another attempt. A stream may
// always be asked of an upstream that has run it, as often as maxAttempts and the budget
// of repeats leave. A plain request that may be repeated can be asked once more of one
// that has failed it.
func (r *request) mayExecuteAgain() bool {
	switch r.route.Kind {
	case catalog.Streaming:
		return true
	case catalog.Repeatable:
		return r.executions <= r.maxUpstreams()
	default:
		return r.executions < r.maxUpstreams()
	}
}

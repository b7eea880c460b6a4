package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// execution is a possible or certain execution of a request by an upstream.
type execution struct {
	cause Cause
	// crashed reports whether the upstream has crashed since. Crashed upstreams do not count
	// towards the operator's bound.
	crashed bool
}

// recordExecution records a failed attempt that the upstream may have executed. A stream that was
// canceled for lack of events counts too, since a hung engine does not report what it executes.
func (m *Model) recordExecution(r *request, msg AttemptFailedMsg) {
	if !msg.Cause.MayHaveExecuted() {
		return
	}
	r.executions++
	if r.progress == atNode {
		r.executedElsewhere += r.forwardedUpstreams
	}
	if r.progress != atUpstream {
		return
	}
	u := r.firstUpstream
	departed := u.entry.Leaving || m.upstreams[u.entry.ID] == nil
	r.executedOn[u.entry.ID] = execution{cause: msg.Cause, crashed: u.crashed || u.unresponsive || departed && msg.Cause == CauseUnknown}
}

// entryRemoved handles the removal of an upstream's entry. The removal alone proves no crash,
// since some upstreams serve for seconds without an entry. It does if the upstream broke off an
// execution or is unresponsive.
func (m *Model) entryRemoved(u *upstream) {
	for _, r := range m.requests {
		if r.executedOn[u.entry.ID].cause == CauseUnknown || u.unresponsive {
			r.setCrashed(u.entry.ID, true)
		}
	}
}

// crashConfirmed handles the confirmed end of an upstream's process and makes the attempts that
// use it stop at once. Otherwise the engines that wait for it would stall for seconds, and the
// next process at its address does not know the request.
func (m *Model) crashConfirmed(u *upstream) []Cmd {
	u.crashed = true
	delete(m.departingSince, u.entry.ID)
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		r.setCrashed(u.entry.ID, true)
		if r.firstUpstream == u || r.passesThrough(u.entry.ID) {
			cmds = append(cmds, RecheckAttemptCmd{Request: id, Attempt: r.attempts, SuspectedAddress: u.entry.Address, Crashed: true})
		}
	}
	return cmds
}

// countExecutions makes the executions at an upstream count that was taken for crashed and may be
// alive: it may have gone on with them.
func (m *Model) countExecutions(u *upstream) {
	if u.crashed {
		return
	}
	for _, r := range m.requests {
		r.setCrashed(u.entry.ID, false)
	}
}

// setCrashed sets whether an upstream has crashed since its execution of the request, if there is one.
func (r *request) setCrashed(id fleet.Incarnation, crashed bool) {
	if e, ok := r.executedOn[id]; ok {
		e.crashed = crashed
		r.executedOn[id] = e
	}
}

// hasCrashed reports whether an upstream has crashed since its execution of a request.
func (m *Model) hasCrashed(id fleet.Incarnation, e execution) bool {
	u := m.upstreams[id]
	return e.crashed || u != nil && u.unresponsive
}

// countedExecutions returns the number of upstreams that executed the request and have not
// crashed. Those of other nodes count in any case.
func (m *Model) countedExecutions(r *request) int {
	n := r.executedElsewhere
	for id, e := range r.executedOn {
		if !m.hasCrashed(id, e) {
			n++
		}
	}
	return n
}

// upstreamBoundReached reports whether only upstreams that have executed the request may execute
// it again.
func (m *Model) upstreamBoundReached(r *request) bool {
	return m.countedExecutions(r) >= r.maxUpstreams()
}

// mayExecuteOn reports whether an upstream may execute the request without exceeding the bound on
// upstreams.
func (r *request) mayExecuteOn(u *upstream) bool {
	return r.executedBy(u) || len(r.executedOn)+r.executedElsewhere < r.maxUpstreams()
}

// executedBy reports whether an upstream has executed the request.
func (r *request) executedBy(u *upstream) bool {
	_, ok := r.executedOn[u.entry.ID]
	return ok
}

// maxUpstreams returns how many upstreams may execute the request.
func (r *request) maxUpstreams() int {
	most := max(r.route.MaxAttempts, 1)
	if f := r.arrival.Forwarded; f != nil && f.UpstreamsLeft > 0 {
		return min(most, f.UpstreamsLeft)
	}
	return most
}

// countedAttempts returns the attempts that maxAttempts bounds.
func (r *request) countedAttempts() int {
	return r.attempts - r.slotRefusals - r.nodeRefusals - min(r.unsentAttempts, maxUnsentAttempts)
}

// mayExecuteAgain reports whether the operator's bound allows another attempt. A stream may
// always be sent again to an upstream that executed it, within maxAttempts and the retry budget.
// A repeatable plain request may be sent once more to an upstream that failed it.
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

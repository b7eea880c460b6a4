package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// run is what is known of an upstream's run of a request, or of what may be one.
type run struct {
	cause Cause
	// ended tells that the upstream has ended since. The operator's bound is not for
	// those.
	ended bool
}

// noteRun takes in that the upstream of a failed attempt has run the request, or may
// have. A stream that was taken back for want of an event may have run as well: an
// engine that has hung says nothing of it.
func (m *Model) noteRun(r *request, msg AttemptFailedMsg) {
	if msg.Cause != Unknown && msg.Cause != Slow && msg.Cause != Failed {
		return
	}
	r.runs++
	if r.first == nil {
		return
	}
	u := r.first
	left := u.entry.Leaving || m.upstreams[u.entry.ID] == nil
	r.ranAt[u.entry.ID] = run{cause: msg.Cause, ended: u.ended || u.silent || left && msg.Cause == Unknown}
}

// noteEnd takes in that an upstream's entry has gone. That alone is no end: some serve
// on for seconds without one. It is the end of one that broke off what it ran, or that
// answers nothing.
func (m *Model) noteEnd(u *upstream) {
	for _, r := range m.requests {
		if at, ok := r.ranAt[u.entry.ID]; ok && (at.cause == Unknown || u.silent) {
			at.ended = true
			r.ranAt[u.entry.ID] = at
		}
	}
}

// endedFor takes in that an upstream's process has ended for certain, and has what is
// under way there given up at once: engines that wait for it stand still for seconds, and
// whoever has its address now knows nothing of the request.
func (m *Model) endedFor(u *upstream) []Cmd {
	u.ended = true
	delete(m.departing, u.entry.ID)
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if at, ok := r.ranAt[u.entry.ID]; ok {
			at.ended = true
			r.ranAt[u.entry.ID] = at
		}
		if r.first == u || r.passes(u.entry.ID) {
			cmds = append(cmds, ReconsiderCmd{Request: id, Attempt: r.sends, At: u.entry.Address, Ended: true})
		}
	}
	return cmds
}

// hasEnded tells whether an upstream has ended since its run of a request.
func (m *Model) hasEnded(id fleet.Incarnation, at run) bool {
	u := m.upstreams[id]
	return at.ended || u != nil && u.silent
}

// ranOn is how many upstreams have run the request, without those that have ended.
func (m *Model) ranOn(r *request) int {
	n := 0
	for id, at := range r.ranAt {
		if !m.hasEnded(id, at) {
			n++
		}
	}
	return n
}

// bounded tells whether only upstreams that have run the request may run it.
func (m *Model) bounded(r *request) bool { return m.ranOn(r) >= r.mostUpstreams() }

// mayUse tells whether an upstream may get the request without exceeding the
// number of upstreams that may run it.
func (r *request) mayUse(u *upstream) bool {
	return r.ran(u) || len(r.ranAt) < r.mostUpstreams()
}

// ran tells whether an upstream has run the request.
func (r *request) ran(u *upstream) bool {
	_, ok := r.ranAt[u.entry.ID]
	return ok
}

// mostUpstreams is how many upstreams may run the request.
func (r *request) mostUpstreams() int { return max(r.route.MaxAttempts, 1) }

// mayRunAgain tells whether the operator's bound leaves another attempt. A stream may
// always be asked of an upstream that has run it, as often as mostSends and the budget
// of repeats leave. A plain request that may be repeated can be asked once more of one
// that has failed it.
func (r *request) mayRunAgain() bool {
	switch r.route.Kind {
	case catalog.Streaming:
		return true
	case catalog.Repeatable:
		return r.runs <= r.mostUpstreams()
	default:
		return r.runs < r.mostUpstreams()
	}
}

package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// request is a request under way.
type request struct {
	arrival   ArriveMsg
	arrivedAt clock.Millis
	// clientDeadline is when the caller stops waiting, giveUp when the route's time
	// is up.
	clientDeadline clock.Millis
	giveUp         clock.Millis
	route          *catalog.Route
	service        *catalog.Service
	account        catalog.Account
	requiresKey    bool
	// work names what the client account asks for.
	work work.ID
	// memoryTokens is the size that memory is reserved for.
	memoryTokens float64
	// attempts counts attempts, and runs those that may have run.
	attempts       int
	executions     int
	triedUpstreams map[fleet.Incarnation]bool
	// executedOn are its runs by upstream. The operator bounds the number of upstreams, not
	// how often one of them is asked.
	executedOn map[fleet.Incarnation]execution
	// delivered says what the caller has of the answer, and events how many events
	// that is.
	delivered       Delivered
	deliveredEvents int
	// waitReason tells that a stream that has begun waits for something to go on
	// with, until waitUntil.
	waitReason Reason
	waitUntil  clock.Millis
	// permitUpstream is the upstream for which it waits for a permit, until permitWaitUntil, and
	// impatient tells that it waits for none any more.
	permitUpstream    fleet.Incarnation
	permitWaitUntil   clock.Millis
	permitWaitExpired bool
	// awaitsSlot tells that it awaits a place at a plain service, and expirePermitWaits that it has.
	awaitsSlot, waitedForSlot bool
	// slotRefusals counts the attempts that found no place. They end with its time, and with the
	// budget of repeats, and not with a number.
	slotRefusals int
	// afterBackOff tells that some of what it could go on at rests.
	afterBackOff bool

	// The attempt under way.
	firstUpstream *upstream
	chain         []chain.Stage
	reservations  []reservation
	// migrating tells that a move is under way, and moves counts them.
	migrating  bool
	migrations int
}

// upstreamAt returns the upstream at an address that the attempt under way passes. The address may
// be another one's by now.
func (r *request) upstreamAt(address string) (fleet.Incarnation, bool) {
	if r.firstUpstream != nil && r.firstUpstream.entry.Address == address {
		return r.firstUpstream.entry.ID, true
	}
	for _, p := range r.chain {
		if p.Address == address {
			return p.ID, true
		}
	}
	return fleet.Incarnation{}, false
}

// priority is the account's where it has one, and the route's otherwise.
func (r *request) priority() int {
	if r.account.HasPriority {
		return r.account.Priority
	}
	return r.route.Priority
}

// answerBegun tells whether the caller has some of the answer.
func (r *request) answerBegun() bool { return r.delivered != DeliveredNothing }

// reservation is memory that a request takes at an engine.
type reservation struct {
	upstream *upstream
	amount   float64
}

// timeLeft returns the time until the request must be answered.
func (r *request) timeLeft(now clock.Millis) clock.Millis {
	return min(r.clientDeadline, r.giveUp).Sub(now)
}

// vmResumed tells all requests that more time has passed than their timers count.
func (m *Model) vmResumed() []Cmd {
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		cmds = append(cmds, RecheckDeadlineCmd{Request: id, Deadline: min(r.clientDeadline, r.giveUp)})
	}
	return cmds
}

// reserve notes the memory that a chain takes.
func (m *Model) reserve(r *request, parts []chain.Stage) {
	m.release(r)
	r.chain = parts
	for _, p := range parts {
		u := m.upstreams[p.ID]
		if u == nil {
			continue
		}
		amount := r.memoryTokens * float64(p.Layers.Len())
		u.reserved += amount
		r.reservations = append(r.reservations, reservation{upstream: u, amount: amount})
	}
}

func (m *Model) release(r *request) {
	for _, h := range r.reservations {
		h.upstream.reserved -= h.amount
	}
	r.reservations = r.reservations[:0]
	r.chain = nil
}

// endAttempt gives back what the attempt under way has taken.
func (m *Model) endAttempt(r *request) {
	m.release(r)
	if r.firstUpstream != nil {
		r.firstUpstream.inFlight--
		r.firstUpstream = nil
	}
	r.migrating = false
}

func (m *Model) dropRequest(id RequestID) {
	r := m.requests[id]
	if r == nil {
		return
	}
	m.endAttempt(r)
	delete(m.requests, id)
}

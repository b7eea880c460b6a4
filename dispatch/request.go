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
	msg     ArriveMsg
	arrived clock.Millis
	// deadline is when the caller stops waiting, giveUp when the route's time
	// is up.
	deadline clock.Millis
	giveUp   clock.Millis
	route    *catalog.Route
	service  *catalog.Service
	account  catalog.Account
	keyed    bool
	// work names what the client account asks for.
	work work.ID
	// tokens is the size that memory is reserved for.
	tokens float64
	// sends counts attempts, and runs those that may have run.
	sends int
	runs  int
	tried map[fleet.Incarnation]bool
	// ranAt are its runs by upstream. The operator bounds the number of upstreams, not
	// how often one of them is asked.
	ranAt map[fleet.Incarnation]run
	// delivered says what the caller has of the answer, and events how many events
	// that is.
	delivered Delivered
	events    int
	// waitingFor tells that a stream that has begun waits for something to go on
	// with, until waitUntil.
	waitingFor Reason
	waitUntil  clock.Millis
	// awaits is the upstream for which it waits for a permit, until awaitsUntil, and
	// impatient tells that it waits for none any more.
	awaits      fleet.Incarnation
	awaitsUntil clock.Millis
	impatient   bool
	// awaitsPlace tells that it awaits a place at a plain service, and hasWaited that it has.
	awaitsPlace, hasWaited bool
	// placeless counts the attempts that found no place. They end with its time, and with the
	// budget of repeats, and not with a number.
	placeless int
	// afterRest tells that some of what it could go on at rests.
	afterRest bool

	// The attempt under way.
	first *upstream
	parts []chain.Stage
	held  []reservation
	// moving tells that a move is under way, and moves counts them.
	moving bool
	moves  int
}

// at returns the upstream at an address that the attempt under way passes. The address may
// be another one's by now.
func (r *request) at(address string) (fleet.Incarnation, bool) {
	if r.first != nil && r.first.entry.Address == address {
		return r.first.entry.ID, true
	}
	for _, p := range r.parts {
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

// begun tells whether the caller has some of the answer.
func (r *request) begun() bool { return r.delivered != DeliveredNothing }

// reservation is memory that a request takes at an engine.
type reservation struct {
	upstream *upstream
	amount   float64
}

// left returns the time until the request must be answered.
func (r *request) left(now clock.Millis) clock.Millis {
	return min(r.deadline, r.giveUp).Sub(now)
}

// woke tells all requests that more time has passed than their timers count.
func (m *Model) woke() []Cmd {
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		cmds = append(cmds, WakeCmd{Request: id, GiveUp: min(r.deadline, r.giveUp)})
	}
	return cmds
}

// reserve notes the memory that a chain takes.
func (m *Model) reserve(r *request, parts []chain.Stage) {
	m.release(r)
	r.parts = parts
	for _, p := range parts {
		u := m.upstreams[p.ID]
		if u == nil {
			continue
		}
		amount := r.tokens * float64(p.Layers.Len())
		u.reserved += amount
		r.held = append(r.held, reservation{upstream: u, amount: amount})
	}
}

func (m *Model) release(r *request) {
	for _, h := range r.held {
		h.upstream.reserved -= h.amount
	}
	r.held = r.held[:0]
	r.parts = nil
}

// endAttempt gives back what the attempt under way has taken.
func (m *Model) endAttempt(r *request) {
	m.release(r)
	if r.first != nil {
		r.first.inFlight--
		r.first = nil
	}
	r.moving = false
}

func (m *Model) forget(id RequestID) {
	r := m.requests[id]
	if r == nil {
		return
	}
	m.endAttempt(r)
	delete(m.requests, id)
}

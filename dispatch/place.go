package dispatch

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// leastFullPlain is the least time for which a plain upstream counts as full that has
	// refused a request. It doubles with each refusal in a row, up to longestFull: a request
	// that is refused once more is a repeat that operators bound.
	leastFullPlain clock.Millis = 20
	// fullPartOfTook is the part of an answer's mean time after which one of several places
	// is likely to be free.
	fullPartOfTook = 0.5
	// placesAfterAnswer is how many requests are sent on for each answer where an upstream
	// has not refused one for shortOfPlaces: others' requests end there too.
	placesAfterAnswer              = 2
	shortOfPlaces     clock.Millis = 150
	// placesReviewed is how often it is looked at who waits. Who cannot wait until the next
	// time is refused now: later its time would be up, which does not tell that it has not run.
	placesReviewed clock.Millis = 100
)

// PlaceCmd is for the log: a request awaits a place at a plain service.
type PlaceCmd struct {
	Request RequestID
	Service string
	// Waiting is how many await one, this one included, and Until for how long it may.
	Waiting int
	Until   clock.Millis
}

func (PlaceCmd) dispatchCmd() {}

// placeQueue holds the requests that await a place at the upstreams of a plain service. Each
// gets its turn by its rank, and in turn by its client account.
type placeQueue = fairqueue.Queue[RequestID]

// refusedPlace notes that a plain upstream has no place. It is not suspected for that: a
// probe would take a place too.
func (u *upstream) refusedPlace(now clock.Millis) {
	pause := max(leastFullPlain, clock.Millis(u.took*fullPartOfTook))
	u.fullUntil = now.Add(min(pause<<min(u.refusals, 8), longestFull))
	u.refusals++
	u.refusedAt = now
}

// placeQueue returns the requests that await a place of a service.
func (m *Model) placeQueue(service string) *placeQueue {
	q := m.places[service]
	if q == nil {
		q = fairqueue.New[RequestID]()
		m.places[service] = q
	}
	return q
}

// fullPlain tells whether a request that has not run lacks nothing but a place: an upstream that
// may run it has none just now.
func (m *Model) fullPlain(r *request) bool {
	return r.runs == 0 && slices.ContainsFunc(m.byService[r.service.Name], func(u *upstream) bool {
		return u.well() && u.full(m.now) && !u.resting(m.now) && r.mayUse(u) && m.mayBegin(r, u)
	})
}

// awaitPlace has a request wait for a place, if it can have one in its caller's time: a caller
// that was told to come back would find the place taken by another, or be too late for it.
func (m *Model) awaitPlace(r *request) []Cmd {
	q := m.placeQueue(r.service.Name)
	rank := min(max(r.priority(), 0), fairqueue.Priorities-1)
	ahead := q.Ahead(rank) + q.AccountLen(rank, r.account.Name)
	if r.left(m.now) < m.placeWithin(r, ahead) {
		return m.giveUp(r, ReasonNoPlace)
	}
	// Those that had no place may have one now.
	maps.DeleteFunc(r.tried, func(id fleet.Incarnation, _ bool) bool {
		_, ran := r.ranAt[id]
		return !ran
	})
	r.awaitsPlace = true
	q.Push(r.msg.Request, fairqueue.WithPriority(rank), fairqueue.WithAccount(r.account.Name, 1))
	return []Cmd{PlaceCmd{Request: r.msg.Request, Service: r.service.Name, Waiting: q.Len(), Until: m.now.Add(r.left(m.now))}}
}

// placeWithin is within what time a request is answered that waits behind others: this node's
// own requests leave places, one after the other.
func (m *Model) placeWithin(r *request, ahead int) clock.Millis {
	took, underWay := 0.0, 0
	for _, u := range m.byService[r.service.Name] {
		took = max(took, u.took)
		underWay += u.inFlight
	}
	turns := float64(ahead)/float64(max(underWay, 1)) + 1
	return clock.Millis(took * turns)
}

// takePlaces sends the next requests that await a place of a service, after an answer of an
// upstream has left one.
func (m *Model) takePlaces(service string, u *upstream) []Cmd {
	q := m.places[service]
	if q == nil || q.Len() == 0 || u == nil || u.pipeline != nil {
		return nil
	}
	u.fullUntil = 0
	most := placesAfterAnswer
	if m.now < u.refusedAt.Add(shortOfPlaces) {
		most = 1
	}
	return m.sendWaiting(q, most)
}

// sendWaiting sends the first requests of those that await a place. A repeat is paid for now.
func (m *Model) sendWaiting(q *placeQueue, most int) []Cmd {
	var cmds []Cmd
	for range min(most, q.Len()) {
		r := m.nextWaiting(q)
		if r == nil {
			break
		}
		if r.sends > 0 && !m.budget(r.service.Name).Spend(m.now) {
			return append(cmds, m.awaitPlace(r)...)
		}
		cmds = append(cmds, m.resend(r)...)
	}
	return cmds
}

// nextWaiting takes the first request off those that await a place; nil for none.
func (m *Model) nextWaiting(q *placeQueue) *request {
	for {
		id, ok := q.Pop()
		if !ok {
			return nil
		}
		if r := m.requests[id]; r != nil && r.awaitsPlace {
			r.awaitsPlace, r.hasWaited = false, true
			return r
		}
	}
}

// reviewPlaces refuses the requests that can have no place in their callers' time any more,
// and tries upstreams again that have refused one a while ago.
func (m *Model) reviewPlaces() []Cmd {
	var cmds []Cmd
	for _, service := range slices.Sorted(maps.Keys(m.places)) {
		q := m.places[service]
		var late []*request
		q.RemoveIf(func(id RequestID) bool {
			r := m.requests[id]
			if r == nil || !r.awaitsPlace {
				return true
			}
			given := r.left(m.now) < m.placeWithin(r, 0)+placesReviewed || !m.fullPlain(r) && m.openPlaces(service) == 0
			if given {
				late = append(late, r)
			}
			return given
		})
		for _, r := range late {
			r.awaitsPlace = false
			cmds = append(cmds, m.giveUp(r, m.withoutPlace(r))...)
		}
		cmds = append(cmds, m.sendWaiting(q, m.openPlaces(service))...)
	}
	return cmds
}

// withoutPlace says why a request is refused that has awaited a place.
func (m *Model) withoutPlace(r *request) Reason {
	if m.fullPlain(r) || m.openPlaces(r.service.Name) > 0 {
		return ReasonNoPlace
	}
	return ReasonNoUpstream
}

// openPlaces is how many upstreams of a service may be tried: those that have not refused a
// request just now.
func (m *Model) openPlaces(service string) int {
	n := 0
	for _, u := range m.byService[service] {
		if u.open(m.now) && !u.resting(m.now) {
			n++
		}
	}
	return n
}

package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// longestRest bounds the rest that is believed. One that asks for more may as well be
	// leaving, and says so elsewhere if it is: after an hour a single request finds out,
	// as it does for requests in quarantine.
	longestRest clock.Millis = 3_600_000
	// restSpread is the part of a rest, as far as it lasts still, over which callers come
	// back after its end. With a half, those refused in a rest of 3 s come back within the
	// 1.5 s after it, at most of the time at less than three times the usual rate.
	restSpread = 0.5
	// resumeEach bounds the begun streams that go on at a tick after a rest: they have
	// waited for it together, and are all read again.
	resumeEach = 6
)

// rested takes in that an upstream wants nothing from this node for a time. It knows best
// what it bears: it may be all but empty by its own report, so nothing but the time ends its
// rest. A shorter one takes nothing off a longer one: each was asked for. It speaks against
// the upstream in no other way. Other nodes are not told: each is asked by itself.
func (m *Model) rested(msg RestMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return nil
	}
	until := m.now.Add(min(msg.For, longestRest))
	if until <= u.restUntil {
		return nil
	}
	u.restUntil = until
	u.wantsReport = false
	return []Cmd{RestCmd{Upstream: msg.Upstream, Until: until, Asked: msg.For}}
}

// resting tells whether it has asked this node for rest that is not over.
func (u *upstream) resting(now clock.Millis) bool { return now < u.restUntil }

// rests returns when the rests of a request's upstreams end, in their order.
func (m *Model) rests(r *request) []clock.Millis {
	var ends []clock.Millis
	for _, u := range m.byService[r.service.Name] {
		if u.resting(m.now) && u.usable() && (u.pipeline != nil || r.mayUse(u)) {
			ends = append(ends, u.restUntil)
		}
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}

// restEnds returns when the first of the upstreams that rest may get a request, if the
// request lacks nothing but them.
func (m *Model) restEnds(r *request) (clock.Millis, bool) {
	ends := m.rests(r)
	if len(ends) == 0 || m.servable(r, m.now) {
		return 0, false
	}
	if r.service.Pipeline == nil {
		return ends[0], true
	}
	// The first end after which there is a chain; ends further on only add to it.
	first, _ := slices.BinarySearchFunc(ends, true, func(end clock.Millis, _ bool) int {
		if m.servable(r, end) {
			return 0
		}
		return -1
	})
	if first == len(ends) {
		return 0, false
	}
	return ends[first], true
}

// servable tells whether there are upstreams for a request once the rests that end by a time
// have ended.
func (m *Model) servable(r *request, end clock.Millis) bool {
	list := m.byService[r.service.Name]
	if r.service.Pipeline == nil {
		return slices.ContainsFunc(list, func(u *upstream) bool { return !u.resting(end) && r.mayUse(u) && u.open(m.now) })
	}
	holders := m.holdersAt(r, list, moment{at: end}, (*upstream).well)
	_, err := chain.Build(r.service.Pipeline.Layers, r.tokens, m.dataCentre, holders)
	return err == nil
}

// backAfter is when a caller comes back that is told of the end of a rest: not before it,
// and not all at once. Those of higher rank are the first.
func (m *Model) backAfter(r *request, end clock.Millis) clock.Millis {
	left := max(end.Sub(m.now), 1)
	return left + clock.Millis(restSpread*r.lateness()*float64(max(left, backSoon)))
}

// lateness is the caller's place among those that come back, from 0 for the first up to 1.
// Those of higher rank come before others.
func (r *request) lateness() float64 {
	return 1 - (1-position(r.msg.CallerID))/float64(1+r.priority())
}

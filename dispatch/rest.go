package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// maxBackOff bounds the rest that is believed. One that asks for more may as well be
	// leaving, and says so elsewhere if it is: after an hour a single request finds out,
	// as it does for requests in quarantine.
	maxBackOff clock.Millis = 3_600_000
	// backOffSpread is the part of a rest, as far as it lasts still, over which callers come
	// back after its end. With a half, those refused in a rest of 3 s come back within the
	// 1.5 s after it, at most of the time at less than three times the usual rate.
	backOffSpread = 0.5
	// resumesPerTick bounds the begun streams that go on at a tick after a rest: they have
	// waited for it together, and are all read again.
	resumesPerTick = 6
)

// backOffRequested takes in that an upstream wants nothing from this node for a time. It knows best
// what it bears: it may be all but empty by its own report, so nothing but the time ends its
// rest. A shorter one takes nothing off a longer one: each was asked for. It speaks against
// the upstream in no other way. Other nodes are not told: each is asked by itself.
func (m *Model) backOffRequested(msg BackOffMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return nil
	}
	until := m.now.Add(min(msg.For, maxBackOff))
	if until <= u.backOffUntil {
		return nil
	}
	u.backOffUntil = until
	u.reportWanted = false
	return []Cmd{BackOffCmd{Upstream: msg.Upstream, Until: until, Requested: msg.For}}
}

// inBackOff tells whether it has asked this node for rest that is not over.
func (u *upstream) inBackOff(now clock.Millis) bool { return now < u.backOffUntil }

// backOffEnds returns when the rests of a request's upstreams end, in their order.
func (m *Model) backOffEnds(r *request) []clock.Millis {
	var ends []clock.Millis
	for _, u := range m.byService[r.service.Name] {
		if u.inBackOff(m.now) && u.acceptsWork() && (u.pipeline != nil || r.mayExecuteOn(u)) {
			ends = append(ends, u.backOffUntil)
		}
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}

// servableAfterBackOff returns when the first of the upstreams that rest may get a request, if the
// request lacks nothing but them.
func (m *Model) servableAfterBackOff(r *request) (clock.Millis, bool) {
	ends := m.backOffEnds(r)
	if len(ends) == 0 || m.servableAt(r, m.now) {
		return 0, false
	}
	if r.service.Pipeline == nil {
		return ends[0], true
	}
	// The first end after which there is a chain; ends further on only add to it.
	first, _ := slices.BinarySearchFunc(ends, true, func(end clock.Millis, _ bool) int {
		if m.servableAt(r, end) {
			return 0
		}
		return -1
	})
	if first == len(ends) {
		return 0, false
	}
	return ends[first], true
}

// servableAt tells whether there are upstreams for a request once the rests that end by a time
// have ended.
func (m *Model) servableAt(r *request, end clock.Millis) bool {
	list := m.byService[r.service.Name]
	if r.service.Pipeline == nil {
		return slices.ContainsFunc(list, func(u *upstream) bool { return !u.inBackOff(end) && r.mayExecuteOn(u) && u.available(m.now) })
	}
	holders := m.holdersUnder(r, list, chainConditions{backOffsUntil: end}, (*upstream).healthy)
	_, err := chain.Build(r.service.Pipeline.Layers, r.memoryTokens, m.dataCentre, holders)
	return err == nil
}

// backOffRetryAfter is when a caller comes back that is told of the end of a rest: not before it,
// and not all at once. Those of higher rank are the first.
func (m *Model) backOffRetryAfter(r *request, end clock.Millis) clock.Millis {
	left := max(end.Sub(m.now), 1)
	return left + clock.Millis(backOffSpread*r.retryPosition()*float64(max(left, shortRetryAfter)))
}

// retryPosition is the caller's place among those that come back, from 0 for the first up to 1.
// Those of higher rank come before others.
func (r *request) retryPosition() float64 {
	return 1 - (1-hashPosition(r.arrival.CallerID))/float64(1+r.priority())
}

package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// maxBackOff bounds the back-off that an upstream may request. After an hour a single request
	// tests the upstream again, as for quarantined requests. An upstream that asks for more may
	// be leaving, which its entry would show.
	maxBackOff clock.Millis = 3_600_000
	// backOffSpread is the share of the remaining back-off over which client retries are spread
	// after its end. With a half, the clients refused during a back-off of 3 s retry within the
	// 1.5 s after it, for most of that time at less than three times the usual rate.
	backOffSpread = 0.5
	// resumesPerTick bounds the begun streams that resume at a tick after a back-off: they waited
	// for the same upstreams, and the prompts of all of them must be read again.
	resumesPerTick = 6
)

// backOffRequested starts the back-off that an upstream requested. Only time ends it: an upstream
// may request it although its report shows free memory. A shorter back-off does not shorten a
// longer one. It does not count as a failure, and other nodes are not notified, since an upstream
// sends each node its own request.
func (m *Model) backOffRequested(msg BackOffMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u == nil {
		return nil
	}
	until := m.now.AddFull(min(msg.For, maxBackOff))
	if until <= u.backOffUntil {
		return nil
	}
	u.backOffUntil = until
	u.reportWanted = false
	return []Cmd{BackOffCmd{Upstream: msg.Upstream, Until: until, Requested: msg.For}}
}

// inBackOff reports whether this node may not send to the upstream, because the upstream
// requested a back-off.
func (u *upstream) inBackOff(now clock.Millis) bool { return now < u.backOffUntil }

// backOffEnds returns the sorted end times of the back-offs of a request's upstreams.
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

// servableAfterBackOff returns the earliest end of a back-off after which the request can be
// served; ok is false if back-offs are not what keeps it from being served.
func (m *Model) servableAfterBackOff(r *request) (clock.Millis, bool) {
	ends := m.backOffEnds(r)
	if len(ends) == 0 || m.servableAt(r, m.now) {
		return 0, false
	}
	if r.service.Pipeline == nil {
		return ends[0], true
	}
	// The search is valid because each further end only adds upstreams.
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

// servableAt reports whether a request can be served once all back-offs up to a time have ended.
func (m *Model) servableAt(r *request, end clock.Millis) bool {
	upstreams := m.byService[r.service.Name]
	if r.service.Pipeline == nil {
		return slices.ContainsFunc(upstreams, func(u *upstream) bool { return !u.inBackOff(end) && r.mayExecuteOn(u) && u.available(m.now) })
	}
	holders := m.holdersUnder(r, upstreams, chainConditions{backOffsUntil: end}, (*upstream).healthy)
	_, err := chain.Build(r.service.Pipeline.Layers, r.memoryTokens, m.dataCentre, holders)
	return err == nil
}

// backOffRetryAfter returns the Retry-After time for the end of a back-off. The retries are
// spread over the time after that end, with higher priorities first.
func (m *Model) backOffRetryAfter(r *request, end clock.Millis) clock.Millis {
	remaining := max(end.Sub(m.now), 1)
	return remaining + clock.Millis(backOffSpread*r.retryPosition()*float64(max(remaining, shortRetryAfter)))
}

// retryPosition returns the position of a client in a spread of retries, from 0 for the first up
// to 1. Higher priorities come first. Those below 0 count as 0.
func (r *request) retryPosition() float64 {
	return 1 - (1-hashPosition(r.arrival.CallerID))/float64(1+max(r.priority(), 0))
}

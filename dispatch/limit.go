package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
)

// maxPermitWait bounds how long a request waits for a permit. A permit request takes a
// millisecond and is repeated during that time, since datagrams can be lost. Afterwards the
// request is sent elsewhere or refused.
const maxPermitWait clock.Millis = 250

// awaitsPermit is an internal Reason for requests that wait for a permit.
const awaitsPermit Reason = "awaits_permit"

// AdvertisedLimitMsg reports the rate limit that an upstream advertises for all nodes together.
type AdvertisedLimitMsg struct {
	Upstream fleet.Incarnation
	// Rate is in requests per second.
	Rate float64
}

// NoAdvertisedLimitMsg reports that an upstream advertised no limit in its answer to a request
// that was sent at SentAt.
type NoAdvertisedLimitMsg struct {
	Upstream fleet.Incarnation
	SentAt   clock.Millis
}

// PermitRequestMsg delivers another node's request for permits. Its ages are already converted to
// this node's clock.
type PermitRequestMsg struct {
	From          string
	PermitRequest limit.PermitRequest
}

// PermitGrantMsg delivers the answer to a permit request.
type PermitGrantMsg struct {
	From  string
	Grant limit.Grant
}

// RequestPermitsCmd requests permits from another node.
type RequestPermitsCmd struct{ limit.PermitRequestCmd }

// GrantPermitsCmd answers another node's permit request.
type GrantPermitsCmd struct {
	To    string
	Grant limit.Grant
}

// LimitChangedCmd logs a change of an upstream's known rate limit.
type LimitChangedCmd struct {
	Upstream fleet.Incarnation
	// Rate is in requests per second; zero if there is no limit any more.
	Rate float64
	// From is the node that reported the limit; empty if the upstream advertised it.
	From string
	// Age is the time since the upstream advertised the limit.
	Age clock.Millis
}

func (AdvertisedLimitMsg) dispatchMsg()   {}
func (NoAdvertisedLimitMsg) dispatchMsg() {}
func (PermitRequestMsg) dispatchMsg()     {}
func (PermitGrantMsg) dispatchMsg()       {}
func (RequestPermitsCmd) dispatchCmd()    {}
func (GrantPermitsCmd) dispatchCmd()      {}
func (LimitChangedCmd) dispatchCmd()      {}

// updateLimits handles messages about rate limits.
func (m *Model) updateLimits(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case AdvertisedLimitMsg:
		if m.upstreams[msg.Upstream] != nil && m.limits.SetAdvertised(m.now, msg.Upstream, msg.Rate) {
			return append(m.limitChanged(msg.Upstream, ""), requestPermitsCmds(m.limits.ReportSent(m.now, msg.Upstream))...)
		}
	case NoAdvertisedLimitMsg:
		if m.limits.SetUnlimited(m.now, msg.Upstream, msg.SentAt) {
			return append(m.limitChanged(msg.Upstream, ""), m.resumePermitWaiters(msg.Upstream)...)
		}
	case PermitRequestMsg:
		grant, requests := m.limits.HandleRequest(m.now, msg.From, msg.PermitRequest)
		return append(requestPermitsCmds(requests), GrantPermitsCmd{To: msg.From, Grant: grant})
	case PermitGrantMsg:
		return m.permitsGranted(msg)
	}
	return nil
}

// mergePeerLimits adopts the rate limits that another node reported, so that this node does not
// exceed a limit with its first requests to an upstream.
func (m *Model) mergePeerLimits(msg UsageMsg) []Cmd {
	var cmds []Cmd
	for _, id := range slices.SortedFunc(maps.Keys(msg.Limits), fleet.Incarnation.Compare) {
		if m.upstreams[id] == nil || !m.limits.Merge(m.now, id, msg.Limits[id]) {
			continue
		}
		cmds = append(cmds, m.limitChanged(id, msg.Node)...)
		cmds = append(cmds, requestPermitsCmds(m.limits.ReportSent(m.now, id))...)
		if msg.Limits[id].Rate == 0 {
			cmds = append(cmds, m.resumePermitWaiters(id)...)
		}
	}
	return cmds
}

// permitsGranted handles the answer to a permit request.
func (m *Model) permitsGranted(msg PermitGrantMsg) []Cmd {
	upstream := msg.Grant.Upstream
	before, _ := m.limits.Limit(upstream)
	if !m.limits.HandleGrant(m.now, msg.From, msg.Grant) {
		return nil
	}
	var cmds []Cmd
	if now, _ := m.limits.Limit(upstream); now.Rate != before.Rate {
		cmds = m.limitChanged(upstream, msg.From)
	}
	return append(cmds, m.resumePermitWaiters(upstream)...)
}

// Limits returns the active rate limits, for metrics.
func (m *Model) Limits(now clock.Millis) []limit.Summary { return m.limits.Summaries(now) }

func (m *Model) limitChanged(upstream fleet.Incarnation, from string) []Cmd {
	advertised, _ := m.limits.Limit(upstream)
	cmd := LimitChangedCmd{Upstream: upstream, Rate: advertised.Rate, From: from}
	if advertised.Rate > 0 {
		cmd.Age = m.now.Sub(advertised.ReceivedAt)
	}
	return []Cmd{cmd}
}

func requestPermitsCmds(requests []limit.PermitRequestCmd) []Cmd {
	var cmds []Cmd
	for _, req := range requests {
		cmds = append(cmds, RequestPermitsCmd{req})
	}
	return cmds
}

// limitAllows reports whether an upstream's rate limit allows a request, either at once or after
// a permit is granted.
func (m *Model) limitAllows(r *request, u *upstream) bool {
	switch m.limits.State(m.now, u.entry.ID) {
	case limit.Exhausted:
		return false
	case limit.NeedsPermit, limit.RequestPending:
		return !r.permitWaitExpired
	case limit.Unlimited, limit.HasPermit:
	}
	return true
}

// needsPermit reports whether a request must wait for a permit before it is sent to an upstream.
func (m *Model) needsPermit(u *upstream) bool {
	state := m.limits.State(m.now, u.entry.ID)
	return state == limit.NeedsPermit || state == limit.RequestPending
}

// awaitPermit requests a permit for a request. This node itself may be the one that grants it.
func (m *Model) awaitPermit(r *request, u *upstream) []Cmd {
	id := u.entry.ID
	cmds := requestPermitsCmds(m.limits.RequestPermits(m.now, id, len(m.permitWaiters[id])+1))
	if m.limits.State(m.now, id) != limit.RequestPending {
		return slices.Concat(cmds, m.resumePermitWaiters(id), m.resend(r))
	}
	cmds = append(m.endCapacityWait(r, WaitSent), cmds...)
	r.progress, r.permitUpstream, r.permitWaitUntil = awaitingPermit, id, m.now.Add(maxPermitWait)
	m.permitWaiters[id] = append(m.permitWaiters[id], r.arrival.Request)
	return cmds
}

// resumePermitWaiters sends the requests that waited for a permit of an upstream, by priority and
// then by arrival.
func (m *Model) resumePermitWaiters(upstream fleet.Incarnation) []Cmd {
	var waiting []*request
	for _, id := range m.permitWaiters[upstream] {
		if r := m.requests[id]; r != nil && r.progress == awaitingPermit && r.permitUpstream == upstream {
			r.progress = undecided
			waiting = append(waiting, r)
		}
	}
	delete(m.permitWaiters, upstream)
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.priority(), b.priority()), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
	var cmds []Cmd
	for _, r := range waiting {
		cmds = append(cmds, m.resend(r)...)
	}
	return cmds
}

// reviewPermitWaiters repeats unanswered permit requests and resumes the requests that have
// waited for maxPermitWait.
func (m *Model) reviewPermitWaiters() []Cmd {
	requests, failed := m.limits.Tick(m.now)
	cmds := requestPermitsCmds(requests)
	for _, upstream := range failed {
		cmds = append(cmds, m.resumePermitWaiters(upstream)...)
	}
	for _, upstream := range slices.SortedFunc(maps.Keys(m.permitWaiters), fleet.Incarnation.Compare) {
		if m.limits.State(m.now, upstream) != limit.RequestPending || m.expirePermitWaits(upstream) {
			cmds = append(cmds, m.resumePermitWaiters(upstream)...)
		}
	}
	return cmds
}

// expirePermitWaits marks the requests whose wait for a permit of an upstream has expired, and
// reports whether there are any.
func (m *Model) expirePermitWaits(upstream fleet.Incarnation) bool {
	found := false
	for _, id := range m.permitWaiters[upstream] {
		if r := m.requests[id]; r != nil && r.progress == awaitingPermit && r.permitUpstream == upstream && m.now >= r.permitWaitUntil {
			r.permitWaitExpired, found = true, true
		}
	}
	return found
}

// limitedUpstreams returns the upstreams that could serve a request if they had no rate limits.
func (m *Model) limitedUpstreams(r *request) []*upstream {
	var limited []*upstream
	for _, u := range m.byService[r.service.Name] {
		if u.acceptsWork() && !u.inBackOff(m.now) && (u.pipeline != nil || r.mayExecuteOn(u)) && !m.limitAllows(r, u) {
			limited = append(limited, u)
		}
	}
	if len(limited) == 0 || r.service.Pipeline == nil {
		return limited
	}
	holders := m.holdersUnder(r, m.byService[r.service.Name], chainConditions{backOffsUntil: m.now, ignoreLimits: true}, (*upstream).healthy)
	if _, err := chain.Build(r.service.Pipeline.Layers, r.memoryTokens, m.dataCentre, holders); err != nil {
		return nil
	}
	return limited
}

// LimitRefusal describes the rate limit that refused a request, for the log.
type LimitRefusal struct {
	// Upstream is the limited upstream that accepts a request first, and Rate its limit in
	// requests per second.
	Upstream fleet.Incarnation
	Rate     float64
	// LimitedUpstreams is the number of limited upstreams. RecentDenials is the largest number of
	// permits that one of them denied over all nodes in the last 4 s.
	LimitedUpstreams int
	RecentDenials    int
}

// limitRetryAfter returns the Retry-After time of a request that was refused because of rate
// limits. It spreads the retries over the time that the limits need to admit as many requests as
// were denied lately. Requests of higher priority get shorter times.
func (m *Model) limitRetryAfter(r *request) (retryAfter clock.Millis, refusal *LimitRefusal) {
	limited := m.limitedUpstreams(r)
	if len(limited) == 0 {
		return 0, nil
	}
	refusal = &LimitRefusal{LimitedUpstreams: len(limited)}
	rates, soonest := 0.0, maxRetryAfter
	for _, u := range limited {
		advertised, _ := m.limits.Limit(u.entry.ID)
		nextPermit, denied := m.limits.NextPermit(m.now, u.entry.ID)
		rates += advertised.Rate
		refusal.RecentDenials = max(refusal.RecentDenials, denied)
		if refusal.Upstream.IsZero() || nextPermit < soonest {
			soonest, refusal.Upstream, refusal.Rate = min(nextPermit, maxRetryAfter), u.entry.ID, advertised.Rate
		}
	}
	backlog := clock.Millis(msPerSecond * float64(refusal.RecentDenials) / max(rates, 1/float64(maxRetryAfter)))
	retryAfter = soonest + clock.Millis(r.retryPosition()*float64(min(backlog, maxRetryAfter)))
	return min(max(retryAfter, shortRetryAfter), maxRetryAfter), refusal
}

const msPerSecond = 1000

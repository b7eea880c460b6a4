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

// maxPermitWait is for how long a request waits for a permit. The question takes a
// millisecond, and is repeated for as long where datagrams are lost; then the request goes
// elsewhere, or is refused.
const maxPermitWait clock.Millis = 250

// awaitsPermit stands in for a reason while a request waits for a permit.
const awaitsPermit Reason = "awaits_permit"

// AdvertisedLimitMsg tells that an upstream takes so many requests a second from all nodes together, by
// its own word.
type AdvertisedLimitMsg struct {
	Upstream fleet.Incarnation
	// Rate is in requests a second.
	Rate float64
}

// NoAdvertisedLimitMsg tells that an upstream has answered a request, sent at a time, without a limit.
type NoAdvertisedLimitMsg struct {
	Upstream fleet.Incarnation
	SentAt   clock.Millis
}

// PermitRequestMsg brings another node's question for permits. Ages are times of this node's.
type PermitRequestMsg struct {
	From string
	Ask  limit.Ask
}

// PermitGrantMsg brings the answer to a question for permits.
type PermitGrantMsg struct {
	From  string
	Grant limit.Grant
}

// RequestPermitsCmd asks another node for permits.
type RequestPermitsCmd struct{ limit.AskCmd }

// GrantPermitsCmd answers another node's question.
type GrantPermitsCmd struct {
	To    string
	Grant limit.Grant
}

// LimitChangedCmd is for the log: what is known of an upstream's limit has changed.
type LimitChangedCmd struct {
	Upstream fleet.Incarnation
	// Rate is in requests a second; zero for no limit any more.
	Rate float64
	// From is the node that has told it; empty for the upstream itself.
	From string
	// Age is how long ago it was heard from the upstream.
	Age clock.Millis
}

func (AdvertisedLimitMsg) dispatchMsg()   {}
func (NoAdvertisedLimitMsg) dispatchMsg() {}
func (PermitRequestMsg) dispatchMsg()     {}
func (PermitGrantMsg) dispatchMsg()       {}
func (RequestPermitsCmd) dispatchCmd()    {}
func (GrantPermitsCmd) dispatchCmd()      {}
func (LimitChangedCmd) dispatchCmd()      {}

// updateLimits takes in what is told of limits.
func (m *Model) updateLimits(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case AdvertisedLimitMsg:
		if m.upstreams[msg.Upstream] != nil && m.limits.Named(m.now, msg.Upstream, msg.Rate) {
			return append(m.limitChanged(msg.Upstream, ""), requestPermitsCmds(m.limits.ReportSent(m.now, msg.Upstream))...)
		}
	case NoAdvertisedLimitMsg:
		if m.limits.SetUnlimited(m.now, msg.Upstream, msg.SentAt) {
			return append(m.limitChanged(msg.Upstream, ""), m.resumePermitWaiters(msg.Upstream)...)
		}
	case PermitRequestMsg:
		grant, asks := m.limits.HandleAsk(m.now, msg.From, msg.Ask)
		return append(requestPermitsCmds(asks), GrantPermitsCmd{To: msg.From, Grant: grant})
	case PermitGrantMsg:
		return m.permitsGranted(msg)
	}
	return nil
}

// mergePeerLimits takes in what another node knows of limits, so that the first requests that this
// node sends to such an upstream are not too many.
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

// permitsGranted takes the answer to a question for permits.
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

// Limits returns the limits that hold, for metrics.
func (m *Model) Limits(now clock.Millis) []limit.Summary { return m.limits.Summaries(now) }

func (m *Model) limitChanged(upstream fleet.Incarnation, from string) []Cmd {
	named, _ := m.limits.Limit(upstream)
	cmd := LimitChangedCmd{Upstream: upstream, Rate: named.Rate, From: from}
	if named.Rate > 0 {
		cmd.Age = m.now.Sub(named.ReceivedAt)
	}
	return []Cmd{cmd}
}

func requestPermitsCmds(asks []limit.AskCmd) []Cmd {
	var cmds []Cmd
	for _, a := range asks {
		cmds = append(cmds, RequestPermitsCmd{a})
	}
	return cmds
}

// limitAllows tells whether a request may be sent to an upstream, as far as its limit goes: at
// once, or after a permit was asked for.
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

// needsPermit tells whether a permit must be awaited before a request is sent to an upstream.
func (m *Model) needsPermit(u *upstream) bool {
	state := m.limits.State(m.now, u.entry.ID)
	return state == limit.NeedsPermit || state == limit.RequestPending
}

// awaitPermit asks for a permit for a request. This node may be the one that gives it.
func (m *Model) awaitPermit(r *request, u *upstream) []Cmd {
	id := u.entry.ID
	if r.permitUpstream.IsZero() {
		r.permitWaitUntil = m.now.Add(maxPermitWait)
	}
	r.permitUpstream = id
	m.permitWaiters[id] = append(m.permitWaiters[id], r.arrival.Request)
	cmds := requestPermitsCmds(m.limits.Ask(m.now, id, len(m.permitWaiters[id])))
	if m.limits.State(m.now, id) == limit.RequestPending {
		return cmds
	}
	return append(cmds, m.resumePermitWaiters(id)...)
}

// resumePermitWaiters goes on with the requests that have awaited a permit for an upstream, the most
// urgent first, and the earlier of these.
func (m *Model) resumePermitWaiters(upstream fleet.Incarnation) []Cmd {
	var waiting []*request
	for _, id := range m.permitWaiters[upstream] {
		if r := m.requests[id]; r != nil && r.permitUpstream == upstream {
			r.permitUpstream = fleet.Incarnation{}
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

// reviewPermitWaiters repeats the questions for permits that were not answered, and lets go of the
// requests that have waited for long.
func (m *Model) reviewPermitWaiters() []Cmd {
	asks, failed := m.limits.Tick(m.now)
	cmds := requestPermitsCmds(asks)
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

// expirePermitWaits marks the requests that have awaited a permit for an upstream for long, and tells
// whether there are any.
func (m *Model) expirePermitWaits(upstream fleet.Incarnation) bool {
	found := false
	for _, id := range m.permitWaiters[upstream] {
		if r := m.requests[id]; r != nil && r.permitUpstream == upstream && m.now >= r.permitWaitUntil {
			r.permitWaitExpired, found = true, true
		}
	}
	return found
}

// limitedUpstreams returns the upstreams of a request's service that would serve it but for their
// limits.
func (m *Model) limitedUpstreams(r *request) []*upstream {
	var list []*upstream
	for _, u := range m.byService[r.service.Name] {
		if u.acceptsWork() && !u.inBackOff(m.now) && (u.pipeline != nil || r.mayExecuteOn(u)) && !m.limitAllows(r, u) {
			list = append(list, u)
		}
	}
	if len(list) == 0 || r.service.Pipeline == nil {
		return list
	}
	holders := m.holdersUnder(r, m.byService[r.service.Name], chainConditions{backOffsUntil: m.now, ignoreLimits: true}, (*upstream).healthy)
	if _, err := chain.Build(r.service.Pipeline.Layers, r.memoryTokens, m.dataCentre, holders); err != nil {
		return nil
	}
	return list
}

// LimitRefusal says which limit has had a request refused, for the log.
type LimitRefusal struct {
	// Upstream is the one that may be asked first again, and Rate its limit.
	Upstream fleet.Incarnation
	Rate     float64
	// LimitedUpstreams is how many were limited, and Queue how many requests of all nodes were
	// turned away from the first in the last 4 s.
	LimitedUpstreams int
	RecentDenials    int
}

// limitRetryAfter returns when a caller should come back that was refused for upstreams' limits: as
// many as were turned away lately come before it or after it, at the pace of the limits. The
// more urgent are told less.
func (m *Model) limitRetryAfter(r *request) (back clock.Millis, why *LimitRefusal) {
	list := m.limitedUpstreams(r)
	if len(list) == 0 {
		return 0, nil
	}
	why = &LimitRefusal{LimitedUpstreams: len(list)}
	rates, soonest := 0.0, maxRetryAfter
	for _, u := range list {
		named, _ := m.limits.Limit(u.entry.ID)
		next, queue := m.limits.NextPermit(m.now, u.entry.ID)
		rates += named.Rate
		why.RecentDenials = max(why.RecentDenials, queue)
		if why.Upstream.IsZero() || next < soonest {
			soonest, why.Upstream, why.Rate = min(next, maxRetryAfter), u.entry.ID, named.Rate
		}
	}
	turn := clock.Millis(msPerSecond * float64(why.RecentDenials) / max(rates, 1/float64(maxRetryAfter)))
	back = soonest + clock.Millis(r.retryPosition()*float64(min(turn, maxRetryAfter)))
	return min(max(back, shortRetryAfter), maxRetryAfter), why
}

const msPerSecond = 1000

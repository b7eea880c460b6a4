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

// permitPatience is for how long a request waits for a permit. The question takes a
// millisecond, and is repeated for as long where datagrams are lost; then the request goes
// elsewhere, or is refused.
const permitPatience clock.Millis = 250

// awaitsPermit stands in for a reason while a request waits for a permit.
const awaitsPermit Reason = "awaits_permit"

// LimitMsg tells that an upstream takes so many requests a second from all nodes together, by
// its own word.
type LimitMsg struct {
	Upstream fleet.Incarnation
	// Rate is in requests a second.
	Rate float64
}

// NoLimitMsg tells that an upstream has answered a request, sent at a time, without a limit.
type NoLimitMsg struct {
	Upstream fleet.Incarnation
	Sent     clock.Millis
}

// PermitAskMsg brings another node's question for permits. Ages are times of this node's.
type PermitAskMsg struct {
	From string
	Ask  limit.Ask
}

// PermitsMsg brings the answer to a question for permits.
type PermitsMsg struct {
	From  string
	Grant limit.Grant
}

// AskPermitsCmd asks another node for permits.
type AskPermitsCmd struct{ limit.AskCmd }

// GivePermitsCmd answers another node's question.
type GivePermitsCmd struct {
	To    string
	Grant limit.Grant
}

// LimitCmd is for the log: what is known of an upstream's limit has changed.
type LimitCmd struct {
	Upstream fleet.Incarnation
	// Rate is in requests a second; zero for no limit any more.
	Rate float64
	// From is the node that has told it; empty for the upstream itself.
	From string
	// Age is how long ago it was heard from the upstream.
	Age clock.Millis
}

func (LimitMsg) dispatchMsg()       {}
func (NoLimitMsg) dispatchMsg()     {}
func (PermitAskMsg) dispatchMsg()   {}
func (PermitsMsg) dispatchMsg()     {}
func (AskPermitsCmd) dispatchCmd()  {}
func (GivePermitsCmd) dispatchCmd() {}
func (LimitCmd) dispatchCmd()       {}

// hearLimit takes in what is told of limits.
func (m *Model) hearLimit(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case LimitMsg:
		if m.upstreams[msg.Upstream] != nil && m.limits.Named(m.now, msg.Upstream, msg.Rate) {
			return append(m.limitChanged(msg.Upstream, ""), asked(m.limits.ReportSent(m.now, msg.Upstream))...)
		}
	case NoLimitMsg:
		if m.limits.SetUnlimited(m.now, msg.Upstream, msg.Sent) {
			return append(m.limitChanged(msg.Upstream, ""), m.takePermits(msg.Upstream)...)
		}
	case PermitAskMsg:
		grant, asks := m.limits.HandleAsk(m.now, msg.From, msg.Ask)
		return append(asked(asks), GivePermitsCmd{To: msg.From, Grant: grant})
	case PermitsMsg:
		return m.permits(msg)
	}
	return nil
}

// toldLimits takes in what another node knows of limits, so that the first requests that this
// node sends to such an upstream are not too many.
func (m *Model) toldLimits(msg UsageMsg) []Cmd {
	var cmds []Cmd
	for _, id := range slices.SortedFunc(maps.Keys(msg.Limits), fleet.Incarnation.Compare) {
		if m.upstreams[id] == nil || !m.limits.Merge(m.now, id, msg.Limits[id]) {
			continue
		}
		cmds = append(cmds, m.limitChanged(id, msg.Node)...)
		cmds = append(cmds, asked(m.limits.ReportSent(m.now, id))...)
		if msg.Limits[id].Rate == 0 {
			cmds = append(cmds, m.takePermits(id)...)
		}
	}
	return cmds
}

// permits takes the answer to a question for permits.
func (m *Model) permits(msg PermitsMsg) []Cmd {
	upstream := msg.Grant.Upstream
	before, _ := m.limits.Limit(upstream)
	if !m.limits.HandleGrant(m.now, msg.From, msg.Grant) {
		return nil
	}
	var cmds []Cmd
	if now, _ := m.limits.Limit(upstream); now.Rate != before.Rate {
		cmds = m.limitChanged(upstream, msg.From)
	}
	return append(cmds, m.takePermits(upstream)...)
}

// Limits returns the limits that hold, for metrics.
func (m *Model) Limits(now clock.Millis) []limit.Summary { return m.limits.Summaries(now) }

func (m *Model) limitChanged(upstream fleet.Incarnation, from string) []Cmd {
	named, _ := m.limits.Limit(upstream)
	cmd := LimitCmd{Upstream: upstream, Rate: named.Rate, From: from}
	if named.Rate > 0 {
		cmd.Age = m.now.Sub(named.ReceivedAt)
	}
	return []Cmd{cmd}
}

func asked(asks []limit.AskCmd) []Cmd {
	var cmds []Cmd
	for _, a := range asks {
		cmds = append(cmds, AskPermitsCmd{a})
	}
	return cmds
}

// mayBegin tells whether a request may be sent to an upstream, as far as its limit goes: at
// once, or after a permit was asked for.
func (m *Model) mayBegin(r *request, u *upstream) bool {
	switch m.limits.State(m.now, u.entry.ID) {
	case limit.Exhausted:
		return false
	case limit.NeedsPermit, limit.RequestPending:
		return !r.impatient
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
	if r.awaits.IsZero() {
		r.awaitsUntil = m.now.Add(permitPatience)
	}
	r.awaits = id
	m.awaiting[id] = append(m.awaiting[id], r.msg.Request)
	cmds := asked(m.limits.Ask(m.now, id, len(m.awaiting[id])))
	if m.limits.State(m.now, id) == limit.RequestPending {
		return cmds
	}
	return append(cmds, m.takePermits(id)...)
}

// takePermits goes on with the requests that have awaited a permit for an upstream, the most
// urgent first, and the earlier of these.
func (m *Model) takePermits(upstream fleet.Incarnation) []Cmd {
	var waiting []*request
	for _, id := range m.awaiting[upstream] {
		if r := m.requests[id]; r != nil && r.awaits == upstream {
			r.awaits = fleet.Incarnation{}
			waiting = append(waiting, r)
		}
	}
	delete(m.awaiting, upstream)
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.priority(), b.priority()), cmp.Compare(a.arrived, b.arrived))
	})
	var cmds []Cmd
	for _, r := range waiting {
		cmds = append(cmds, m.resend(r)...)
	}
	return cmds
}

// reviewPermits repeats the questions for permits that were not answered, and lets go of the
// requests that have waited for long.
func (m *Model) reviewPermits() []Cmd {
	asks, failed := m.limits.Tick(m.now)
	cmds := asked(asks)
	for _, upstream := range failed {
		cmds = append(cmds, m.takePermits(upstream)...)
	}
	for _, upstream := range slices.SortedFunc(maps.Keys(m.awaiting), fleet.Incarnation.Compare) {
		if m.limits.State(m.now, upstream) != limit.RequestPending || m.hasWaited(upstream) {
			cmds = append(cmds, m.takePermits(upstream)...)
		}
	}
	return cmds
}

// hasWaited marks the requests that have awaited a permit for an upstream for long, and tells
// whether there are any.
func (m *Model) hasWaited(upstream fleet.Incarnation) bool {
	found := false
	for _, id := range m.awaiting[upstream] {
		if r := m.requests[id]; r != nil && r.awaits == upstream && m.now >= r.awaitsUntil {
			r.impatient, found = true, true
		}
	}
	return found
}

// limited returns the upstreams of a request's service that would serve it but for their
// limits.
func (m *Model) limited(r *request) []*upstream {
	var list []*upstream
	for _, u := range m.byService[r.service.Name] {
		if u.usable() && !u.resting(m.now) && (u.pipeline != nil || r.mayUse(u)) && !m.mayBegin(r, u) {
			list = append(list, u)
		}
	}
	if len(list) == 0 || r.service.Pipeline == nil {
		return list
	}
	holders := m.holdersAt(r, m.byService[r.service.Name], moment{at: m.now, noLimits: true}, (*upstream).well)
	if _, err := chain.Build(r.service.Pipeline.Layers, r.tokens, m.dataCentre, holders); err != nil {
		return nil
	}
	return list
}

// Limited says which limit has had a request refused, for the log.
type Limited struct {
	// Upstream is the one that may be asked first again, and Rate its limit.
	Upstream fleet.Incarnation
	Rate     float64
	// Upstreams is how many were limited, and Queue how many requests of all nodes were
	// turned away from the first in the last 4 s.
	Upstreams int
	Queue     int
}

// limitEnds returns when a caller should come back that was refused for upstreams' limits: as
// many as were turned away lately come before it or after it, at the pace of the limits. The
// more urgent are told less.
func (m *Model) limitEnds(r *request) (back clock.Millis, why *Limited) {
	list := m.limited(r)
	if len(list) == 0 {
		return 0, nil
	}
	why = &Limited{Upstreams: len(list)}
	rates, soonest := 0.0, longestBack
	for _, u := range list {
		named, _ := m.limits.Limit(u.entry.ID)
		next, queue := m.limits.NextPermit(m.now, u.entry.ID)
		rates += named.Rate
		why.Queue = max(why.Queue, queue)
		if why.Upstream.IsZero() || next < soonest {
			soonest, why.Upstream, why.Rate = min(next, longestBack), u.entry.ID, named.Rate
		}
	}
	turn := clock.Millis(msPerSecond * float64(why.Queue) / max(rates, 1/float64(longestBack)))
	back = soonest + clock.Millis(r.lateness()*float64(min(turn, longestBack)))
	return min(max(back, backSoon), longestBack), why
}

const msPerSecond = 1000

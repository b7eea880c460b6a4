package dispatch

import (
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// send chooses where a request goes next.
func (m *Model) send(r *request) []Cmd {
	if left, held := m.quarantine.Quarantined(m.now, r.work); held {
		return m.refuseQuarantined(r, left)
	}
	var cmd SendCmd
	var reason Reason
	if r.service.Pipeline != nil {
		cmd, reason = m.sendPipeline(r)
	} else {
		cmd, reason = m.sendPlain(r)
	}
	if reason == ReasonNoUpstream && m.lacksOnlySlot(r) {
		reason = ReasonNoSlot
	}
	if reason == ReasonNoSlot && !r.answerBegun() {
		return m.awaitSlot(r)
	}
	if reason == awaitsPermit {
		first := r.firstUpstream
		r.firstUpstream = nil
		return m.awaitPermit(r, first)
	}
	if reason != "" {
		return m.giveUp(r, reason)
	}
	r.attempts++
	r.firstUpstream.inFlight++
	m.limits.RecordSent(m.now, r.firstUpstream.entry.ID)
	named, _ := m.limits.Limit(r.firstUpstream.entry.ID)
	cmd.Limit = named.Rate
	cmd.Request, cmd.Attempt = r.arrival.Request, r.attempts
	cmd.Upstream, cmd.Address = r.firstUpstream.entry.ID, r.firstUpstream.entry.Address
	cmd.Route, cmd.Account, cmd.RequiresKey, cmd.Priority = r.route, r.account.Name, r.requiresKey, r.priority()
	cmd.ClientDeadline, cmd.RouteDeadline = r.clientDeadline, r.giveUp
	cmd.LastUpstream = m.isLastUpstream(r)
	cmd.Work, cmd.WorkSuspected = r.work, m.quarantine.IsSuspect(r.work)
	cmd.Config, cmd.ConfigAge = m.catalog.Edition(), clock.AgeOf(m.configConfirmedAt, m.now)
	cmd.InFlight = r.firstUpstream.inFlight
	return []Cmd{cmd}
}

// isLastUpstream tells whether no upstream but those that have run the request, and the one
// that it is being sent to, may run it.
func (m *Model) isLastUpstream(r *request) bool {
	n := m.countedExecutions(r)
	if !r.executedBy(r.firstUpstream) {
		n++
	}
	return n >= r.maxUpstreams()
}

// giveUp ends a request for which there is nothing left to try.
func (m *Model) giveUp(r *request, reason Reason) []Cmd {
	if r.answerBegun() {
		return m.waitOrAbort(r, reason)
	}
	if r.executions > 0 {
		return m.refuse(r.arrival.Request, http.StatusBadGateway, ReasonAnswerLost, 0)
	}
	if reason == ReasonNoUpstream || reason == ReasonNoHolder || reason == ReasonNoMemory || reason == ReasonNoSlot {
		if back, why := m.limitRetryAfter(r); why != nil {
			return m.refuseRateLimited(r, r.capRetryAfter(m.now, back), why)
		}
	}
	if end, rest := m.servableAfterBackOff(r); rest {
		return m.refuseMissing(r.arrival.Request, ReasonBackOff, m.backOffRetryAfter(r, end), nil)
	}
	var lack *MissingResource
	if r.service.Pipeline != nil && (reason == ReasonNoMemory || reason == ReasonNoHolder) {
		lack = m.missingResource(r)
	}
	return m.refuseMissing(r.arrival.Request, reason, r.capRetryAfter(m.now, m.retryAfter(r, reason, lack)), lack)
}

// sendPlain takes the upstream that should answer first: by the mean time of
// its answers and how many of this node's requests it has.
func (m *Model) sendPlain(r *request) (SendCmd, Reason) {
	if q := m.slotQueues[r.service.Name]; q != nil && q.Len() > 0 && !r.waitedForSlot && m.lacksOnlySlot(r) {
		// Nobody goes before those that wait.
		return SendCmd{}, ReasonNoSlot
	}
	best := m.cheapest(r, func(u *upstream) bool {
		return r.mayExecuteOn(u) && !r.triedUpstreams[u.entry.ID] && u.available(m.now) && u.failureRate <= maxFailureRate
	})
	if best == nil {
		best = m.cheapest(r, func(u *upstream) bool { return r.mayExecuteOn(u) && !r.triedUpstreams[u.entry.ID] && !u.full(m.now) })
	}
	if best == nil {
		best = m.cheapest(r, func(u *upstream) bool { return r.mayExecuteOn(u) && u.available(m.now) })
	}
	if best == nil {
		return SendCmd{}, ReasonNoUpstream
	}
	r.firstUpstream = best
	if m.needsPermit(best) {
		return SendCmd{}, awaitsPermit
	}
	return SendCmd{AttemptTimeout: m.attemptTimeout(r, best)}, ""
}

func (m *Model) cheapest(r *request, may func(*upstream) bool) *upstream {
	var best *upstream
	bestCost := 0.0
	suspected := m.quarantine.IsSuspect(r.work)
	for _, u := range m.byService[r.service.Name] {
		if !u.acceptsWork() || u.inBackOff(m.now) || !may(u) || !m.limitAllows(r, u) {
			continue
		}
		cost := u.meanLatency * float64(u.inFlight+1) * (1 + m.random.Float64()*tieSpread)
		if suspected {
			cost = spreadOrder(r.work, u.entry.ID)
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// tieSpread mixes upstreams that are about equally good.
const tieSpread = 0.3

// attemptTimeout bounds the first attempt of a request that may be repeated, so that a
// silent upstream does not use up the caller's time.
func (m *Model) attemptTimeout(r *request, u *upstream) clock.Millis {
	if r.route.Kind != catalog.Repeatable || r.executions >= r.maxUpstreams() {
		return 0
	}
	return max(clock.Millis(u.meanLatency*attemptTimeoutFactor), clock.Millis(float64(r.route.LatencyTarget)*attemptTimeoutAimShare))
}

// sendPipeline builds a chain of engines. Engines under suspicion take no part.
func (m *Model) sendPipeline(r *request) (SendCmd, Reason) {
	parts, err := m.chainFor(r)
	if err != nil && m.upstreamBoundReached(r) {
		// Its caller may take a cut stream up at once, and anywhere; here it would
		// have to wait for the engines that have run it.
		return SendCmd{}, ReasonRefused
	}
	if err != nil {
		return SendCmd{}, chainErrorReason(err)
	}
	first := m.upstreams[parts[0].ID]
	r.firstUpstream = first
	if m.needsPermit(first) {
		return SendCmd{}, awaitsPermit
	}
	m.reserve(r, parts)
	return SendCmd{Chain: parts}, ""
}

// chainFor builds the chain of a request. The engines of other data centres are looked
// at only where those at home do not give the cheapest: there may be ten times as many.
func (m *Model) chainFor(r *request) ([]chain.Stage, error) {
	m.expirePeerUsage()
	layers := r.service.Pipeline.Layers
	if parts, ok := chain.BuildLocal(layers, r.memoryTokens, m.dataCentre, m.holders(r, m.localByService[r.service.Name], (*upstream).healthy), m.fastestTokenTime[r.service.Name]); ok {
		return parts, nil
	}
	all := m.byService[r.service.Name]
	parts, err := chain.Build(layers, r.memoryTokens, m.dataCentre, m.holders(r, all, (*upstream).healthy))
	if errors.Is(err, chain.ErrNoHolder) {
		// Where suspicion has left a layer without an engine it does more harm than
		// the suspects that still answer.
		m.probeSuspects(r.service.Name)
		parts, err = chain.Build(layers, r.memoryTokens, m.dataCentre, m.holders(r, all, m.answersProbes))
	}
	return parts, err
}

// probeSuspects has the suspects of a service probed at the next tick, but for those
// that have left a probe unanswered.
func (m *Model) probeSuspects(service string) {
	for _, u := range m.byService[service] {
		if u.suspected && !u.unresponsive && !u.probeInFlight {
			u.earlyProbeWanted = true
		}
	}
}

// answersProbes tells whether an engine may get work where nobody else can: it is well,
// or its connections break off, but it has answered a probe just now.
func (m *Model) answersProbes(u *upstream) bool {
	if u.healthy() {
		return true
	}
	return u.acceptsWork() && u.suspicionCause == CauseUnknown && !u.unresponsive && m.now <= u.probeAnsweredAt.Add(probeAnswerWindow)
}

func chainErrorReason(err error) Reason {
	if errors.Is(err, chain.ErrNoMemory) {
		return ReasonNoMemory
	}
	return ReasonNoHolder
}

// holders returns those of some engines of the request's service that may take part in
// a chain now, without those named.
func (m *Model) holders(r *request, list []*upstream, may func(*upstream) bool, without ...fleet.Incarnation) []chain.Holder {
	return m.holdersUnder(r, list, chainConditions{backOffsUntil: m.now}, may, without...)
}

// chainConditions is when a chain is to be built.
type chainConditions struct {
	// backOffsUntil is by when rests that end count as over.
	backOffsUntil clock.Millis
	// ignoreLimits leaves upstreams' limits out of account.
	ignoreLimits bool
}

// holdersUnder are the holders at a moment.
func (m *Model) holdersUnder(r *request, list []*upstream, at chainConditions, may func(*upstream) bool, without ...fleet.Incarnation) []chain.Holder {
	holders := make([]chain.Holder, 0, len(list))
	bounded := m.upstreamBoundReached(r)
	for _, u := range list {
		if u.inBackOff(at.backOffsUntil) || !may(u) || slices.Contains(without, u.entry.ID) || u.entry.Held.Empty() || u.pipeline == nil {
			continue
		}
		if u.sharesAddress && slices.ContainsFunc(holders, func(h chain.Holder) bool { return h.Address == u.entry.Address }) {
			// A chain may name an address once.
			continue
		}
		h := m.newHolder(r, u)
		spent := !at.ignoreLimits && !m.limitAllows(r, u)
		if spent {
			h.Penalty += limitedPenalty
		}
		if bounded && !r.executedBy(u) || spent {
			// A chain begins at the engine with the first layer, and the bound on upstreams
			// that run a request is on these, as is a limit: nodes send it requests, and
			// what passes on the way to later layers comes from other engines.
			h.Held.From = max(h.Held.From, 1)
		}
		holders = append(holders, h)
	}
	if m.quarantine.IsSuspect(r.work) {
		spreadSuspectedWork(r.work, holders)
	}
	return holders
}

// triedPenalty keeps a repeated request off the engines of its last attempt
// where it can, in ms for each token.
const triedPenalty = 5.0

// limitedPenalty has what begins elsewhere pass by an upstream in need where others hold its
// layers, in ms for each token. It is no request of a node's there, so nothing forbids it.
const limitedPenalty = 5.0

// suspectPenalty keeps requests off suspects where another engine holds the layers,
// in ms for each token. It outweighs a crossing.
const suspectPenalty = 50.0

// preferenceCost has the nodes of a large data centre choose different engines among those that
// are equally good, in ms for each token. It is less than another hop. All that know the same
// would choose the same chain until it is a quarter full; an engine of it that refuses, or is
// lost, is then found out by a request of each.
const preferenceCost = 0.3

// nodePreference draws, for a node, how far an engine is from it, from 0 up to 1: always the same.
func nodePreference(seed uint64, id fleet.Incarnation) float64 {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(id.String()))).Float64()
}

func (m *Model) newHolder(r *request, u *upstream) chain.Holder {
	h := chain.Holder{
		ID: u.entry.ID, Address: u.entry.Address, DataCentre: u.entry.DataCentre, Held: u.entry.Held,
		LayerTime: u.layerTime * max(u.slowdown, 1), TotalMemory: u.memory, FreeMemory: m.freeMemory(u),
	}
	h.PromptLoad = m.promptLoad(u, h.FreeMemory)
	h.EntryCost = m.slotCost(u)
	if r.triedUpstreams[u.entry.ID] {
		h.Penalty = triedPenalty
	}
	if m.manyNodes {
		h.Penalty += preferenceCost * u.preference
	}
	if u.suspected {
		h.Penalty += suspectPenalty
	}
	if u.full(m.now) {
		h.FreeMemory = 0
	}
	return h
}

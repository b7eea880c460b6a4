package dispatch

import (
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
)

// send chooses the upstream or chain for the next attempt of a request. Without one, the request
// is passed on to another node, waits or ends.
func (m *Model) send(r *request) []Cmd {
	if !r.mayBeSent() {
		return nil
	}
	if by, remaining, quarantined := m.quarantine.QuarantinedBy(m.now, r.work); quarantined {
		return m.refuseQuarantined(r, by, remaining)
	}
	if m.heldBack(r) {
		return m.giveUp(r, ReasonHeldBack)
	}
	if m.overFairShare(r) {
		return m.giveUp(r, ReasonOverFairShare)
	}
	cmd, first, reason := m.choosePath(r, m.leavesSuspects(r))
	if reason.isPathLoss() && m.lacksOnlyReach(r) {
		if cmds := m.forward(r); len(cmds) > 0 {
			return cmds
		}
		r.trustsLinks = true
		cmd, first, reason = m.choosePath(r, r.arrival.Forwarded != nil)
		r.trustsLinks = false
		if reason.isPathLoss() && m.cutFromService(r) {
			reason = ReasonNoPath
		}
	}
	if reason == ReasonNoUpstream && m.lacksOnlySlot(r) {
		reason = ReasonNoSlot
	}
	if reason == ReasonNoSlot && !r.answerBegun() {
		return m.awaitSlot(r)
	}
	if reason == awaitsPermit {
		return m.awaitPermit(r, first)
	}
	if reason != "" {
		return m.giveUp(r, reason)
	}
	first.inFlight++
	m.limits.RecordSent(m.now, first.entry.ID)
	advertised, _ := m.limits.Limit(first.entry.ID)
	cmd.Limit = advertised.Rate
	cmd.Upstream, cmd.Address = first.entry.ID, first.entry.Address
	cmd.LastUpstream = m.isLastUpstream(r, first)
	cmd.InFlight = first.inFlight
	return m.beginAttempt(r, cmd, first)
}

// beginAttempt begins an attempt of a request at an upstream, or at the node of its command if that is
// nil, and sets the fields of the command that do not depend on where the request is sent. Nothing
// else lets a request leave this node, so its wait for capacity ends here too.
func (m *Model) beginAttempt(r *request, cmd SendCmd, first *upstream) []Cmd {
	cmds := m.endCapacityWait(r, WaitSent)
	r.progress, r.firstUpstream, r.forwardedTo = atUpstream, first, ""
	if first == nil {
		r.progress, r.forwardedTo = atNode, cmd.Node
	}
	r.attempts++
	cmd.Request, cmd.Attempt = r.arrival.Request, r.attempts
	cmd.Route, cmd.Account, cmd.RequiresKey, cmd.Priority = r.route, r.account.Name, r.requiresKey && !r.admittance.settled, r.priority()
	cmd.ClientDeadline, cmd.RouteDeadline = r.clientDeadline, r.giveUp
	cmd.Work = r.work.Content
	if by, ok := m.quarantine.Suspect(r.work); ok {
		cmd.SuspectedBy = by
	}
	cmd.Config, cmd.ConfigAge = m.catalog.Edition(), clock.AgeOf(m.configConfirmedAt, m.now)
	r.decidedBy = cmd.Config
	return append(cmds, cmd)
}

// choosePath chooses the upstream or chain for the next attempt, and its first upstream. With leaveSuspects, a plain
// service of which this node reaches no upstream gives no path.
func (m *Model) choosePath(r *request, leaveSuspects bool) (SendCmd, *upstream, Reason) {
	if r.service.Pipeline != nil {
		return m.sendPipeline(r)
	}
	return m.sendPlain(r, leaveSuspects)
}

// isLastUpstream reports whether no upstream may execute the request besides those that have
// executed it and the one that it is sent to.
func (m *Model) isLastUpstream(r *request, u *upstream) bool {
	n := m.countedExecutions(r)
	if !r.executedBy(u) {
		n++
	}
	return n >= r.maxUpstreams()
}

// giveUp handles a request that cannot be sent: a stream that has begun waits or is aborted, any
// other request waits for capacity or is refused.
func (m *Model) giveUp(r *request, reason Reason) []Cmd {
	if r.answerBegun() {
		return m.waitOrAbort(r, reason)
	}
	if cmds, waits := m.awaitCapacity(r, reason); waits {
		return cmds
	}
	if r.executions > 0 {
		return m.refuse(r.arrival.Request, http.StatusBadGateway, ReasonAnswerLost, 0)
	}
	if reason == ReasonHeldBack {
		return m.refuseHeldBack(r)
	}
	if reason == ReasonOverFairShare {
		return m.refuseOverFairShare(r)
	}
	if reason == ReasonNoUpstream || reason == ReasonNoHolder || reason == ReasonNoMemory || reason == ReasonNoSlot {
		if retryAfter, refusal := m.limitRetryAfter(r); refusal != nil {
			return m.refuseRateLimited(r, m.capRetryAfter(r, retryAfter), refusal)
		}
	}
	if backOffEnd, waits := m.servableAfterBackOff(r); waits {
		return m.refuseMissing(r.arrival.Request, ReasonBackOff, m.capRetryAfter(r, m.backOffRetryAfter(r, backOffEnd)), nil)
	}
	var missing *MissingResource
	if r.service.Pipeline != nil && (reason == ReasonNoMemory || reason == ReasonNoHolder) {
		missing = m.missingResource(r)
	}
	return m.refuseMissing(r.arrival.Request, reason, m.capRetryAfter(r, m.retryAfter(r, reason, missing)), missing)
}

// sendPlain chooses the upstream that is expected to answer first, by its mean latency and the
// number of this node's requests on it.
func (m *Model) sendPlain(r *request, leaveSuspects bool) (SendCmd, *upstream, Reason) {
	if q := m.slotQueues[r.service.Name]; q != nil && q.len() > 0 && !r.waitedForSlot && m.lacksOnlySlot(r) {
		// New requests queue behind those that already wait for a slot.
		return SendCmd{}, nil, ReasonNoSlot
	}
	sound := func(u *upstream) bool {
		return r.mayExecuteOn(u) && !r.triedUpstreams[u.entry.ID] && u.available(m.now) && u.failureRate <= maxFailureRate
	}
	var best *upstream
	if r.unsentAttempts > 0 {
		best = m.cheapest(r, func(u *upstream) bool { return sound(u) && m.hasAnswered(u) })
	}
	if best == nil {
		best = m.cheapest(r, sound)
	}
	if best == nil && leaveSuspects && m.lacksOnlyReach(r) {
		return SendCmd{}, nil, ReasonNoUpstream
	}
	if best == nil {
		best = m.cheapest(r, func(u *upstream) bool { return r.mayExecuteOn(u) && !r.triedUpstreams[u.entry.ID] && !u.full(m.now) })
	}
	if best == nil {
		best = m.cheapest(r, func(u *upstream) bool { return r.mayExecuteOn(u) && u.available(m.now) })
	}
	if best == nil {
		return SendCmd{}, nil, ReasonNoUpstream
	}
	if m.needsPermit(best) {
		return SendCmd{}, best, awaitsPermit
	}
	return SendCmd{AttemptTimeout: m.attemptTimeout(r, best)}, best, ""
}

func (m *Model) cheapest(r *request, allowed func(*upstream) bool) *upstream {
	var best *upstream
	bestCost := 0.0
	by, suspected := m.quarantine.Suspect(r.work)
	for _, u := range m.byService[r.service.Name] {
		if !u.acceptsWork() || m.avoidsLink(r, u) || u.inBackOff(m.now) || !allowed(u) || !m.limitAllows(r, u) {
			continue
		}
		cost := u.meanLatency * float64(u.inFlight+1) * (1 + m.random.Float64()*tieSpread)
		if suspected {
			cost = spreadOrder(by, u.entry.ID)
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// tieSpread is the random variation of the cost that mixes upstreams of about equal cost.
const tieSpread = 0.3

// attemptTimeout returns the timeout of an attempt of a repeatable request, so that an unresponsive
// upstream does not use up the client's time; zero for no timeout. The last attempt has none: its end
// would only drop an answer that is on its way.
func (m *Model) attemptTimeout(r *request, u *upstream) clock.Millis {
	if r.route.Kind != catalog.Repeatable || m.isLastUpstream(r, u) || !m.hasAlternative(r, u) {
		return 0
	}
	timeout := max(clock.Millis(u.meanLatency*attemptTimeoutFactor), clock.Millis(float64(r.route.LatencyTarget)*attemptTimeoutAimShare))
	if !m.hasAnswered(u) {
		timeout = max(timeout, clock.Millis(unknownLatencyShare*float64(r.timeLeft(m.now))))
	}
	return timeout
}

// hasAlternative reports whether another upstream of a plain service may get the request instead.
func (m *Model) hasAlternative(r *request, u *upstream) bool {
	return slices.ContainsFunc(m.byService[r.service.Name], func(other *upstream) bool {
		return other != u && r.mayExecuteOn(other) && other.available(m.now) && !other.inBackOff(m.now)
	})
}

// sendPipeline builds a chain of engines. Suspected engines are excluded unless a layer has no
// other engine.
func (m *Model) sendPipeline(r *request) (SendCmd, *upstream, Reason) {
	if reason := m.mustQueue(r, engineLane); reason != "" {
		return SendCmd{}, nil, reason
	}
	r.capacity.admitted = true
	parts, err := m.chainFor(r)
	if err != nil && m.upstreamBoundReached(r) {
		// A client can resume an aborted stream elsewhere at once, while this node would have to
		// wait for the engines that have executed it.
		return SendCmd{}, nil, ReasonRefused
	}
	if err != nil {
		return SendCmd{}, nil, chainErrorReason(err)
	}
	first := m.upstreams[parts[0].ID]
	if m.needsPermit(first) {
		return SendCmd{}, first, awaitsPermit
	}
	predicted := m.predict(r, parts)
	r.sentAt, r.predictedFirstEvent = m.now, predicted.firstEvent
	r.awaitsFirstEvent = true
	m.addToBacklog(r, parts)
	m.reserve(r, parts)
	m.recordShareSent(r)
	return SendCmd{
		Chain: parts, PredictedFirstEvent: predicted.firstEvent, PredictionInputAge: predicted.inputAge, FirstEventLimit: m.firstEventLimit(r),
	}, first, ""
}

// chainFor builds the chain of a request. Engines of other data centres are only considered if
// the local ones do not give the cheapest chain, since there may be ten times as many.
func (m *Model) chainFor(r *request) ([]chain.Stage, error) {
	m.expirePeerUsage()
	layers := r.service.Pipeline.Layers
	if parts, ok := chain.BuildLocal(layers, r.memoryTokens, m.dataCentre, m.holders(r, m.localByService[r.service.Name], (*upstream).healthy), m.fastestTokenTime[r.service.Name]); ok {
		return parts, nil
	}
	all := m.byService[r.service.Name]
	parts, err := chain.Build(layers, r.memoryTokens, m.dataCentre, m.holders(r, all, (*upstream).healthy))
	if errors.Is(err, chain.ErrNoHolder) {
		// If suspicion leaves a layer without an engine, excluding the suspects is worse than
		// using those that still answer probes.
		m.probeSuspects(r.service.Name)
		parts, err = chain.Build(layers, r.memoryTokens, m.dataCentre, m.holders(r, all, m.answersProbes))
	}
	return parts, err
}

// probeSuspects schedules probes of a service's suspected upstreams for the next tick, except of
// unresponsive ones and of those that answer other nodes and not this one.
func (m *Model) probeSuspects(service string) {
	for _, u := range m.byService[service] {
		if u.suspected && !u.unresponsive && !m.answersPeers(u) && !u.probeInFlight {
			u.earlyProbeWanted = true
		}
	}
}

// answersProbes reports whether an engine may get work if no other engine holds its layers: it is
// healthy, it breaks off connections or answers but has just answered a probe, or only another node found it
// unresponsive, which may be cut from it.
func (m *Model) answersProbes(u *upstream) bool {
	if u.healthy() {
		return true
	}
	if !u.acceptsWork() || u.unresponsive {
		return false
	}
	breaksOff := u.suspicionCause == CauseUnknown || u.suspicionCause == CauseBrokenAnswer
	return u.suspectedByPeer || breaksOff && m.now <= u.probeAnsweredAt.Add(probeAnswerWindow)
}

func chainErrorReason(err error) Reason {
	if errors.Is(err, chain.ErrNoMemory) {
		return ReasonNoMemory
	}
	return ReasonNoHolder
}

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
	if reason == ReasonNoUpstream && m.fullPlain(r) {
		reason = ReasonNoPlace
	}
	if reason == ReasonNoPlace && !r.begun() {
		return m.awaitPlace(r)
	}
	if reason == awaitsPermit {
		first := r.first
		r.first = nil
		return m.awaitPermit(r, first)
	}
	if reason != "" {
		return m.giveUp(r, reason)
	}
	r.sends++
	r.first.inFlight++
	m.limits.RecordSent(m.now, r.first.entry.ID)
	named, _ := m.limits.Limit(r.first.entry.ID)
	cmd.Limit = named.Rate
	cmd.Request, cmd.Attempt = r.msg.Request, r.sends
	cmd.Upstream, cmd.Address = r.first.entry.ID, r.first.entry.Address
	cmd.Route, cmd.Account, cmd.Keyed, cmd.Priority = r.route, r.account.Name, r.keyed, r.priority()
	cmd.Deadline, cmd.GiveUp = r.deadline, r.giveUp
	cmd.Last = m.isLast(r)
	cmd.Work, cmd.Suspected = r.work, m.quarantine.IsSuspect(r.work)
	cmd.Config, cmd.ConfigAge = m.catalog.Edition(), clock.AgeOf(m.confirmed, m.now)
	cmd.InFlight = r.first.inFlight
	return []Cmd{cmd}
}

// isLast tells whether no upstream but those that have run the request, and the one
// that it is being sent to, may run it.
func (m *Model) isLast(r *request) bool {
	n := m.ranOn(r)
	if !r.ran(r.first) {
		n++
	}
	return n >= r.mostUpstreams()
}

// giveUp ends a request for which there is nothing left to try.
func (m *Model) giveUp(r *request, reason Reason) []Cmd {
	if r.begun() {
		return m.waitOrCut(r, reason)
	}
	if r.runs > 0 {
		return m.refuse(r.msg.Request, http.StatusBadGateway, ReasonUnknown, 0)
	}
	if reason == ReasonNoUpstream || reason == ReasonNoHolder || reason == ReasonNoRoom || reason == ReasonNoPlace {
		if back, why := m.limitEnds(r); why != nil {
			return m.refuseLimited(r, r.inTimeOf(m.now, back), why)
		}
	}
	if end, rest := m.restEnds(r); rest {
		return m.refuseFor(r.msg.Request, ReasonRest, m.backAfter(r, end), nil)
	}
	var lack *Lack
	if r.service.Pipeline != nil && (reason == ReasonNoRoom || reason == ReasonNoHolder) {
		lack = m.whatLacks(r)
	}
	return m.refuseFor(r.msg.Request, reason, r.inTimeOf(m.now, m.comeBack(r, reason, lack)), lack)
}

// sendPlain takes the upstream that should answer first: by the mean time of
// its answers and how many of this node's requests it has.
func (m *Model) sendPlain(r *request) (SendCmd, Reason) {
	if q := m.places[r.service.Name]; q != nil && q.Len() > 0 && !r.hasWaited && m.fullPlain(r) {
		// Nobody goes before those that wait.
		return SendCmd{}, ReasonNoPlace
	}
	best := m.cheapest(r, func(u *upstream) bool {
		return r.mayUse(u) && !r.tried[u.entry.ID] && u.open(m.now) && u.failing <= failTooMany
	})
	if best == nil {
		best = m.cheapest(r, func(u *upstream) bool { return r.mayUse(u) && !r.tried[u.entry.ID] && !u.full(m.now) })
	}
	if best == nil {
		best = m.cheapest(r, func(u *upstream) bool { return r.mayUse(u) && u.open(m.now) })
	}
	if best == nil {
		return SendCmd{}, ReasonNoUpstream
	}
	r.first = best
	if m.needsPermit(best) {
		return SendCmd{}, awaitsPermit
	}
	return SendCmd{TryFor: m.tryFor(r, best)}, ""
}

func (m *Model) cheapest(r *request, may func(*upstream) bool) *upstream {
	var best *upstream
	bestCost := 0.0
	suspected := m.quarantine.IsSuspect(r.work)
	for _, u := range m.byService[r.service.Name] {
		if !u.usable() || u.resting(m.now) || !may(u) || !m.mayBegin(r, u) {
			continue
		}
		cost := u.took * float64(u.inFlight+1) * (1 + m.random.Float64()*tieSpread)
		if suspected {
			cost = apart(r.work, u.entry.ID)
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// tieSpread mixes upstreams that are about equally good.
const tieSpread = 0.3

// tryFor bounds the first attempt of a request that may be repeated, so that a
// silent upstream does not use up the caller's time.
func (m *Model) tryFor(r *request, u *upstream) clock.Millis {
	if r.route.Kind != catalog.Repeatable || r.runs >= r.mostUpstreams() {
		return 0
	}
	return max(clock.Millis(u.took*tryFactor), clock.Millis(float64(r.route.LatencyTarget)*tryShare))
}

// sendPipeline builds a chain of engines. Engines under suspicion take no part.
func (m *Model) sendPipeline(r *request) (SendCmd, Reason) {
	parts, err := m.chainFor(r)
	if err != nil && m.bounded(r) {
		// Its caller may take a cut stream up at once, and anywhere; here it would
		// have to wait for the engines that have run it.
		return SendCmd{}, ReasonRefused
	}
	if err != nil {
		return SendCmd{}, chainReason(err)
	}
	first := m.upstreams[parts[0].ID]
	r.first = first
	if m.needsPermit(first) {
		return SendCmd{}, awaitsPermit
	}
	m.reserve(r, parts)
	return SendCmd{Chain: parts}, ""
}

// chainFor builds the chain of a request. The engines of other data centres are looked
// at only where those at home do not give the cheapest: there may be ten times as many.
func (m *Model) chainFor(r *request) ([]chain.Stage, error) {
	m.expireUsage()
	layers := r.service.Pipeline.Layers
	if parts, ok := chain.BuildLocal(layers, r.tokens, m.dataCentre, m.holders(r, m.atHome[r.service.Name], (*upstream).well), m.fastest[r.service.Name]); ok {
		return parts, nil
	}
	all := m.byService[r.service.Name]
	parts, err := chain.Build(layers, r.tokens, m.dataCentre, m.holders(r, all, (*upstream).well))
	if errors.Is(err, chain.ErrNoHolder) {
		// Where suspicion has left a layer without an engine it does more harm than
		// the suspects that still answer.
		m.probeSoon(r.service.Name)
		parts, err = chain.Build(layers, r.tokens, m.dataCentre, m.holders(r, all, m.answers))
	}
	return parts, err
}

// probeSoon has the suspects of a service probed at the next tick, but for those
// that have left a probe unanswered.
func (m *Model) probeSoon(service string) {
	for _, u := range m.byService[service] {
		if u.suspect && !u.silent && !u.probing {
			u.wantsProbe = true
		}
	}
}

// answers tells whether an engine may get work where nobody else can: it is well,
// or its connections break off, but it has answered a probe just now.
func (m *Model) answers(u *upstream) bool {
	if u.well() {
		return true
	}
	return u.usable() && u.cause == Unknown && !u.silent && m.now <= u.answeredAt.Add(answerLasts)
}

func chainReason(err error) Reason {
	if errors.Is(err, chain.ErrNoMemory) {
		return ReasonNoRoom
	}
	return ReasonNoHolder
}

// holders returns those of some engines of the request's service that may take part in
// a chain now, without those named.
func (m *Model) holders(r *request, list []*upstream, may func(*upstream) bool, without ...fleet.Incarnation) []chain.Holder {
	return m.holdersAt(r, list, moment{at: m.now}, may, without...)
}

// moment is when a chain is to be built.
type moment struct {
	// at is by when rests that end count as over.
	at clock.Millis
	// noLimits leaves upstreams' limits out of account.
	noLimits bool
}

// holdersAt are the holders at a moment.
func (m *Model) holdersAt(r *request, list []*upstream, at moment, may func(*upstream) bool, without ...fleet.Incarnation) []chain.Holder {
	holders := make([]chain.Holder, 0, len(list))
	bounded := m.bounded(r)
	for _, u := range list {
		if u.resting(at.at) || !may(u) || slices.Contains(without, u.entry.ID) || u.entry.Held.Empty() || u.pipeline == nil {
			continue
		}
		if u.rivals && slices.ContainsFunc(holders, func(h chain.Holder) bool { return h.Address == u.entry.Address }) {
			// A chain may name an address once.
			continue
		}
		h := m.holder(r, u)
		spent := !at.noLimits && !m.mayBegin(r, u)
		if spent {
			h.Penalty += limitedPenalty
		}
		if bounded && !r.ran(u) || spent {
			// A chain begins at the engine with the first layer, and the bound on upstreams
			// that run a request is on these, as is a limit: nodes send it requests, and
			// what passes on the way to later layers comes from other engines.
			h.Held.From = max(h.Held.From, 1)
		}
		holders = append(holders, h)
	}
	if m.quarantine.IsSuspect(r.work) {
		spreadSuspect(r.work, holders)
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

// distanceCost has the nodes of a large data centre choose different engines among those that
// are equally good, in ms for each token. It is less than another hop. All that know the same
// would choose the same chain until it is a quarter full; an engine of it that refuses, or is
// lost, is then found out by a request of each.
const distanceCost = 0.3

// distance draws, for a node, how far an engine is from it, from 0 up to 1: always the same.
func distance(seed uint64, id fleet.Incarnation) float64 {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(id.String()))).Float64()
}

func (m *Model) holder(r *request, u *upstream) chain.Holder {
	h := chain.Holder{
		ID: u.entry.ID, Address: u.entry.Address, DataCentre: u.entry.DataCentre, Held: u.entry.Held,
		LayerTime: u.layerTime * max(u.pace, 1), TotalMemory: u.room, FreeMemory: m.free(u),
	}
	h.PromptLoad = m.busy(u, h.FreeMemory)
	h.EntryCost = m.slotCost(u)
	if r.tried[u.entry.ID] {
		h.Penalty = triedPenalty
	}
	if m.large {
		h.Penalty += distanceCost * u.distance
	}
	if u.suspect {
		h.Penalty += suspectPenalty
	}
	if u.full(m.now) {
		h.FreeMemory = 0
	}
	return h
}

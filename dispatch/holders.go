package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// holders returns the given engines that may be part of a chain now, without the excluded ones.
func (m *Model) holders(r *request, candidates []*upstream, allowed func(*upstream) bool, excluded ...fleet.Incarnation) []chain.Holder {
	return m.holdersUnder(r, candidates, chainConditions{backOffsUntil: m.now}, allowed, excluded...)
}

// chainConditions are the conditions for which a chain is built.
type chainConditions struct {
	// backOffsUntil is the time up to which back-offs count as over.
	backOffsUntil clock.Millis
	// ignoreLimits reports whether rate limits are ignored.
	ignoreLimits bool
	// ignoreReach reports whether data centres count as reached from which this node is cut.
	ignoreReach bool
}

// holdersUnder returns the engines that may be part of a chain under the given conditions.
func (m *Model) holdersUnder(r *request, candidates []*upstream, conditions chainConditions, allowed func(*upstream) bool, excluded ...fleet.Incarnation) []chain.Holder {
	holders := make([]chain.Holder, 0, len(candidates))
	bounded := m.upstreamBoundReached(r)
	for _, u := range candidates {
		if u.inBackOff(conditions.backOffsUntil) || !allowed(u) || slices.Contains(excluded, u.entry.ID) || u.held().Empty() || u.pipeline == nil || m.tooBusyToRecover(r, u) {
			continue
		}
		if u.sharesAddress && slices.ContainsFunc(holders, func(h chain.Holder) bool { return h.Address == u.entry.Address }) {
			// A chain may contain an address once.
			continue
		}
		h := m.newHolder(r, u)
		limited := !conditions.ignoreLimits && !m.limitAllows(r, u)
		if limited {
			h.Penalty += limitedPenalty
		}
		if bounded && !r.executedBy(u) || limited || !conditions.ignoreReach && m.avoidsLink(r, u) {
			// A chain begins at the engine with layer 0. Only that engine counts for the bound on
			// upstreams and for rate limits, and only that one must be reached by this node, since
			// nodes send requests to it, while later engines receive them from other engines.
			h.Held.From = max(h.Held.From, 1)
		}
		holders = append(holders, h)
	}
	if by, ok := m.quarantine.Suspect(r.work); ok {
		spreadSuspected(by, holders)
	}
	return holders
}

// triedPenalty keeps a retried request off the engines of its last attempt if other engines are
// available, in ms per token.
const triedPenalty = 5.0

// limitedPenalty keeps the later parts of chains off a rate-limited engine if others hold its
// layers, in ms per token. The limit itself does not forbid them, since they are not sent by a
// node.
const limitedPenalty = 5.0

// suspectPenalty keeps requests off suspected engines if another engine holds the layers, in ms
// per token. It outweighs a hop to another data centre.
const suspectPenalty = 50.0

func (m *Model) newHolder(r *request, u *upstream) chain.Holder {
	h := chain.Holder{
		ID: u.entry.ID, Address: u.entry.Address, DataCentre: u.entry.DataCentre, Held: u.held(),
		LayerTime: u.layerTime * max(u.slowdown, 1), TotalMemory: u.memory, FreeMemory: m.freeMemory(u),
	}
	h.PromptLoad = m.promptLoad(u, h.FreeMemory)
	h.EntryCost = m.slotCost(u)
	if r.triedUpstreams[u.entry.ID] {
		h.Penalty = triedPenalty
	}
	m.spread(&h)
	h.Penalty += m.recoveryCost(r, u) + u.missingEventCost(m.now)
	if u.suspected {
		h.Penalty += suspectPenalty
	}
	if u.full(m.now) {
		h.FreeMemory = 0
	}
	return h
}

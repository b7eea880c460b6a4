package dispatch

import "github.com/hoistjunction/hoistjunction/chain"

// DefaultSpreadCost is the default of Policy.SpreadCost, in ms per token. Callers allow pauses of
// 200 ms and more between events of a few tokens, so they do not notice a few ms per token. It is
// more than the cost of a hop, so that chains over different accelerators share the load too.
const DefaultSpreadCost = 1.0

// Nodes that receive usage as one sum have the same information, up to two report intervals old. If
// each of them took the cheapest chain, all would send to the same engines until the next sum shows
// these as loaded, and then to the next ones together: the first engines would receive more requests
// than they have slots, and reject most of them. Each request therefore adds a random cost to each
// engine. Among chains of about equal cost the choice is then random, and the more a chain costs above
// the cheapest, the less often it is chosen.

// spread adds a random cost to an engine if many nodes have the same usage reports as this one. The
// cost has an exponential distribution, so that the cheapest of several equal engines is drawn
// uniformly and an engine that costs a few times the mean more is hardly ever chosen.
func (m *Model) spread(h *chain.Holder) {
	if m.manyNodes {
		h.Penalty += m.policy.SpreadCost * m.random.ExpFloat64()
	}
}

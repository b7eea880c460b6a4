package node

import "github.com/hoistjunction/hoistjunction/clock"

// Nodes wait for different times before they order an engine to load layers, so that two nodes
// seldom give the same order: an order shows in the engine's report at once. A node's wait
// follows from its rank, or from a hash of its own name while other nodes are unknown.
const (
	plannerDelayStep clock.Millis = 300
	// steppedRanks is the number of ranks of which each waits a step longer than the one before. Nodes of
	// later ranks plan only if all of these have failed, or are names of nodes that do not exist.
	steppedRanks     = 10
	provisionalRanks = 32
)

// plannerDelay returns how long the node of a rank and name waits. Later ranks share the time of as many
// steps again by the hashes of their names, so that no number of ranks before a node delays it further.
func plannerDelay(rank int, name string) clock.Millis {
	if rank < steppedRanks {
		return clock.Millis(rank) * plannerDelayStep
	}
	const longest = steppedRanks * plannerDelayStep
	return longest + clock.Millis(hash(name)%uint64(longest))
}

// provisionalDelay returns how long a node waits while other nodes are unknown.
func provisionalDelay(name string) clock.Millis {
	return clock.Millis(hash(name)%provisionalRanks) * plannerDelayStep
}

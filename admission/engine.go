package admission

import "github.com/hoistjunction/hoistjunction/fleet"

// Engine is an engine of a service, with what it has and what all nodes together use of it.
type Engine struct {
	Held fleet.LayerRange
	// Memory and UsedMemory are in tokens times layers.
	Memory     float64
	UsedMemory float64
	// Slots is the number of streams that the engine processes of those that begin on it, or zero
	// for no bound. UsedSlots counts the streams that begin on it, including waiting ones.
	Slots     float64
	UsedSlots float64
}

// plausible returns a used amount limited to the range from zero to what an engine has. A false
// report on one engine thus changes the use of a layer by that engine's part at most. Nodes may
// report anything, and NaN counts as zero.
func plausible(used, total float64) float64 {
	if used > 0 {
		return min(used, max(total, 0))
	}
	return 0
}

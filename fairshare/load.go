package fairshare

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Load is the use of a service that is under contention, as all nodes report it.
type Load struct {
	// Use is the used part of the scarcest capacity of the service, from 0 to 1.
	Use float64
	// ByAccount is the use of each account over all nodes, in tokens times layers.
	ByAccount map[string]float64
	// Nodes is the number of nodes that admit requests.
	Nodes int
	// NewestReport and OldestReport are when the newest and the oldest of the included reports of
	// other nodes arrived; clock.Never without reports.
	NewestReport clock.Millis
	OldestReport clock.Millis
}

// capacity returns the capacity of the service in the unit of the uses. It follows from the uses, so
// that it is right whatever resource is the scarcest one, and if the uses of some nodes are missing.
func (l Load) capacity() float64 {
	// The sum of the same uses is the same in any order of the map.
	sum := 0.0
	for _, amount := range slices.Sorted(maps.Values(l.ByAccount)) {
		sum += amount
	}
	return sum / l.Use
}

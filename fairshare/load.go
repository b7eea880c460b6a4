package fairshare

import "github.com/hoistjunction/hoistjunction/clock"

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
	sum := 0.0
	for _, amount := range l.ByAccount {
		sum += amount
	}
	return sum / l.Use
}

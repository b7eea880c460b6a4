// Package measure compares the policy with honest baselines: the same load on
// the same stand-ins, in one run, alternating, over several seeds.
//
// Arrivals are open loop and times count from the intended arrival. What is
// counted is the answers that are right, whole and within their bounds.
package measure

import (
	"time"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/testbed"
)

// Bounds of the measured route.
const (
	FirstTokenBound    = 1200 * time.Millisecond
	TokenIntervalBound = 40 * time.Millisecond
)

// Scenario is a load, and what goes wrong under it.
type Scenario struct {
	Name string
	// Duration is how long requests arrive.
	Duration time.Duration
	// Load makes the requests of a run.
	Load func(seed uint64) []load.Item
	// Fault is what goes wrong, FaultAt after the start; nil for nothing.
	Fault   func(b *testbed.Bed)
	FaultAt time.Duration
	// Nodes is the number of entry nodes.
	Nodes int
	// MaxTries is how often a caller sends a request at the most.
	MaxTries int
	// Accounts are the client accounts, all of one weight.
	Accounts []string
}

// Scenarios returns all of them, for a capacity in requests a second that the
// stand-ins hold within the bounds.
func Scenarios(capacity float64) []Scenario {
	const length = 5 * time.Second
	// Below what is left of a stage when one of its three engines is gone.
	calm := PoissonLoad{PerSecond: 0.45 * capacity, Duration: length}
	return []Scenario{
		{Name: "at capacity", Duration: length, Load: PoissonLoad{PerSecond: capacity, Duration: length}.Items, Nodes: 2, MaxTries: 1},
		{Name: "dawn rush, 1.5 times capacity", Duration: length, Load: PoissonLoad{PerSecond: 1.5 * capacity, Duration: length}.Items, Nodes: 2, MaxTries: 1},
		{Name: "dawn rush, 2.5 times capacity", Duration: length, Load: PoissonLoad{PerSecond: 2.5 * capacity, Duration: length}.Items, Nodes: 2, MaxTries: 1},
		{
			Name: "Monday rush, a stage dies", Duration: length, Load: calm.Items, Nodes: 2, MaxTries: 3,
			Fault: killEngine, FaultAt: 2 * time.Second,
		},
		{
			Name: "Monday rush, a stage freezes", Duration: length, Load: calm.Items, Nodes: 2, MaxTries: 3,
			Fault: freezeEngine, FaultAt: 2 * time.Second,
		},
		{
			Name: "a link degrades", Duration: length, Load: calm.Items, Nodes: 2, MaxTries: 3,
			Fault: degradeLink, FaultAt: 2 * time.Second,
		},
		{
			Name: "an entry node dies", Duration: length, Load: calm.Items, Nodes: 3, MaxTries: 3,
			Fault: killNode, FaultAt: 2 * time.Second,
		},
		{
			Name: "the store is out, and a stage dies", Duration: length, Load: calm.Items, Nodes: 2, MaxTries: 3,
			Fault: failStoreAndKillEngine, FaultAt: 2 * time.Second,
		},
		{
			Name: "one account floods", Duration: length, Load: FloodLoad{PerSecond: capacity, Duration: length}.Items, Nodes: 2, MaxTries: 1,
			Accounts: []string{"flood", "small-1", "small-2", "small-3"},
		},
	}
}

// Package measure compares the default policy with baselines: the same load on the
// same stand-ins, alternating between the policies, with several seeds.
//
// The load is open loop, and latencies count from the scheduled arrival. Good
// responses are correct, complete and within the latency bounds.
package measure

import (
	"time"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/testbed"
)

// Latency bounds of the measured route: for the first token, and between tokens.
const (
	FirstTokenBound    = 1200 * time.Millisecond
	TokenIntervalBound = 40 * time.Millisecond
)

// Scenario is a load with an optional fault.
type Scenario struct {
	Name string
	// Duration is the time span in which requests arrive.
	Duration time.Duration
	// Load generates the requests of a run.
	Load func(seed uint64) []load.Item
	// Fault injects a fault once the load has run for FaultAt; nil for no fault.
	Fault   func(b *testbed.Bed)
	FaultAt time.Duration
	// Nodes is the number of entry nodes.
	Nodes int
	// MaxTries is the maximum number of times that a caller sends a request.
	MaxTries int
	// Accounts are the client accounts, all with the same weight.
	Accounts []string
}

// Scenarios returns all scenarios, scaled to a capacity in requests a second that
// the stand-ins serve within the latency bounds.
func Scenarios(capacity float64) []Scenario {
	const length = 5 * time.Second
	// The rate is below the remaining capacity of a stage after one of its three
	// engines crashes.
	moderate := PoissonLoad{PerSecond: 0.45 * capacity, Duration: length}
	return []Scenario{
		{Name: "at capacity", Duration: length, Load: PoissonLoad{PerSecond: capacity, Duration: length}.Items, Nodes: 2, MaxTries: 1},
		{Name: "dawn rush, 1.5 times capacity", Duration: length, Load: PoissonLoad{PerSecond: 1.5 * capacity, Duration: length}.Items, Nodes: 2, MaxTries: 1},
		{Name: "dawn rush, 2.5 times capacity", Duration: length, Load: PoissonLoad{PerSecond: 2.5 * capacity, Duration: length}.Items, Nodes: 2, MaxTries: 1},
		{
			Name: "Monday rush, a stage dies", Duration: length, Load: moderate.Items, Nodes: 2, MaxTries: 3,
			Fault: killEngine, FaultAt: 2 * time.Second,
		},
		{
			Name: "Monday rush, a stage freezes", Duration: length, Load: moderate.Items, Nodes: 2, MaxTries: 3,
			Fault: freezeEngine, FaultAt: 2 * time.Second,
		},
		{
			Name: "a link degrades", Duration: length, Load: moderate.Items, Nodes: 2, MaxTries: 3,
			Fault: degradeLink, FaultAt: 2 * time.Second,
		},
		{
			Name: "an entry node dies", Duration: length, Load: moderate.Items, Nodes: 3, MaxTries: 3,
			Fault: killNode, FaultAt: 2 * time.Second,
		},
		{
			Name: "the store is out, and a stage dies", Duration: length, Load: moderate.Items, Nodes: 2, MaxTries: 3,
			Fault: failStoreAndKillEngine, FaultAt: 2 * time.Second,
		},
		{
			Name: "one account floods", Duration: length, Load: FloodLoad{PerSecond: capacity, Duration: length}.Items, Nodes: 2, MaxTries: 1,
			Accounts: []string{"flood", "small-1", "small-2", "small-3"},
		},
	}
}

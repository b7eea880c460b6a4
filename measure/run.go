package measure

import (
	"context"
	"time"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
)

// warmUp is how long the load runs before each measurement, so that the adaptive
// limits and averages settle.
const warmUp = 2 * time.Second

// tryTimeout bounds each try of a request.
const tryTimeout = 15 * time.Second

// mixedSpeedStages returns stages with three engines each, one of them half as
// fast as the other two.
func mixedSpeedStages() []testbed.Stage {
	c := standin.DefaultEngineConfig()
	c.Base = 4 * time.Millisecond
	c.PerStep = time.Millisecond
	c.PerPosition = 20 * time.Microsecond
	all := testbed.Stages(3, c)
	for i := range all {
		all[i].Slowdowns = []float64{1, 1, 2}
	}
	return all
}

// Run measures a scenario once with a contender.
func Run(s Scenario, c Contender, seed uint64) (*Figures, error) {
	bed, err := testbed.Start(testbed.WithNodes(s.Nodes), testbed.WithStages(mixedSpeedStages()...),
		testbed.WithPolicy(c.Policy, c.Chooser), testbed.WithRecording(0))
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	accounts := append([]string{"clinic"}, s.Accounts...)
	changes := testbed.ChangesWithBounds(uint32(FirstTokenBound.Milliseconds()), uint32(TokenIntervalBound.Milliseconds()), accounts...)
	if err := bed.Configure(changes...); err != nil {
		return nil, err
	}
	runLoad(bed, s, PoissonLoad{PerSecond: 30, Duration: warmUp}.Items(seed+1000), accounts)
	start := time.Now()
	if s.Fault != nil {
		timer := time.AfterFunc(s.FaultAt, func() { s.Fault(bed) })
		defer timer.Stop()
	}
	results := runLoad(bed, s, s.Load(seed), accounts)
	return figures(s, results, start), nil
}

// runLoad sends the requests to the testbed and returns their results.
func runLoad(bed *testbed.Bed, s Scenario, items []load.Item, accounts []string) []load.Result {
	keys := make(map[string]string)
	for _, a := range accounts {
		keys[a] = testbed.AccountKey(a)
	}
	r := load.NewRunner(bed.Addresses(), load.WithKeys(keys), load.WithLayers(testbed.Layers),
		load.WithTries(s.MaxTries), load.WithAttemptTimeout(tryTimeout), load.WithSeed(1))
	return r.Run(context.Background(), items)
}

// Capacity measures the capacity of the stand-in engines: the highest rate of good
// responses that any contender reaches at a series of increasing request rates.
func Capacity(seed uint64, report func(name string, rate float64, f *Figures)) (float64, error) {
	best := 0.0
	for _, rate := range []float64{40, 60, 80, 110} {
		for _, c := range Contenders("") {
			s := Scenario{Nodes: 2, MaxTries: 1, Duration: 4 * time.Second, Load: PoissonLoad{PerSecond: rate, Duration: 4 * time.Second}.Items}
			f, err := Run(s, c, seed)
			if err != nil {
				return 0, err
			}
			report(c.Name, rate, f)
			best = max(best, f.GoodPerSecond)
		}
	}
	return best, nil
}

package chain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/chain"
)

// localHolders returns the holders in a data centre.
func localHolders(holders []chain.Holder, centre string) []chain.Holder {
	var local []chain.Holder
	for _, h := range holders {
		if h.DataCentre == centre {
			local = append(local, h)
		}
	}
	return local
}

// minLayerTime returns the lowest time to generate one token in one layer.
func minLayerTime(holders []chain.Holder) float64 {
	least := holders[0].LayerTime
	for _, h := range holders {
		least = min(least, h.LayerTime)
	}
	return least
}

// For any set of engines, a chain returned by BuildLocal must be the one returned by Build. Local
// engines without free memory add all stage boundaries, so that remote engines add no further
// ones.
func TestBuildLocalMatchesBuild(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	const layers, step, tokens = 20, 5, 10.0
	found := 0
	for range 2000 {
		var holders []chain.Holder
		for from := 0; from < layers; from += step {
			holders = append(holders, holder(fmt.Sprintf("full%d", from), "a", from, from+step, 1, 1))
		}
		for i := range 1 + random.IntN(16) {
			from := step * random.IntN(layers/step)
			to := min(from+step*(1+random.IntN(2)), layers)
			freeMemory := 40 + 400*random.Float64()
			h := holder(fmt.Sprintf("e%d", i), string(rune('a'+random.IntN(3))), from, to, 0.05+random.Float64(), freeMemory)
			holders = append(holders, h)
		}
		got, ok := chain.BuildLocal(layers, tokens, "a", localHolders(holders, "a"), layers*minLayerTime(holders))
		if !ok {
			continue
		}
		found++
		want, err := chain.Build(layers, tokens, "a", holders)
		if err != nil || formatStages(got) != formatStages(want) {
			t.Fatalf("got local chain %s, want %s (error %v) for holders %+v", formatStages(got), formatStages(want), err, holders)
		}
	}
	if found == 0 {
		t.Error("got no local chain in any run, want some")
	}
}

func TestBuildLocalFails(t *testing.T) {
	tests := []struct {
		name    string
		holders []chain.Holder
	}{
		{"layer without a local holder", []chain.Holder{holder("x", "a", 0, 4, 1, ampleMemory)}},
		{"no free memory in the data centre", []chain.Holder{holder("x", "a", 0, 8, 1, 10)}},
		{"remote chain may be cheaper", []chain.Holder{holder("x", "a", 0, 8, 9, ampleMemory)}},
	}
	for _, tt := range tests {
		if stages, ok := chain.BuildLocal(8, 5, "a", tt.holders, 0); ok {
			t.Errorf("%s: got chain %s, want none", tt.name, formatStages(stages))
		}
	}
}

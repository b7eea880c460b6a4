package chain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/chain"
)

// localHolders returns the holders of a data centre.
func localHolders(holders []chain.Holder, centre string) []chain.Holder {
	var home []chain.Holder
	for _, h := range holders {
		if h.DataCentre == centre {
			home = append(home, h)
		}
	}
	return home
}

// minLayerTime returns the least time of a token through a layer.
func minLayerTime(holders []chain.Holder) float64 {
	least := holders[0].LayerTime
	for _, h := range holders {
		least = min(least, h.LayerTime)
	}
	return least
}

// Whatever the engines, a chain that is found at home is the one that is cheapest of
// all. Engines without room at home begin and end wherever others do, so that the
// engines of other data centres offer no further boundaries.
func TestBuildAtHomeIsBuild(t *testing.T) {
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
			room := 40 + 400*random.Float64()
			h := holder(fmt.Sprintf("e%d", i), string(rune('a'+random.IntN(3))), from, to, 0.05+random.Float64(), room)
			holders = append(holders, h)
		}
		got, ok := chain.BuildLocal(layers, tokens, "a", localHolders(holders, "a"), layers*minLayerTime(holders))
		if !ok {
			continue
		}
		found++
		want, err := chain.Build(layers, tokens, "a", holders)
		if err != nil || formatStages(got) != formatStages(want) {
			t.Fatalf("got %s at home, want %s (%v) of %+v", formatStages(got), formatStages(want), err, holders)
		}
	}
	if found == 0 {
		t.Error("got no chain at home, want some")
	}
}

func TestBuildAtHomeGivesUp(t *testing.T) {
	tests := []struct {
		name    string
		holders []chain.Holder
	}{
		{"a layer has no engine at home", []chain.Holder{holder("x", "a", 0, 4, 1, ampleMemory)}},
		{"no room at home", []chain.Holder{holder("x", "a", 0, 8, 1, 10)}},
		{"a chain that leaves may be cheaper", []chain.Holder{holder("x", "a", 0, 8, 9, ampleMemory)}},
	}
	for _, tt := range tests {
		if parts, ok := chain.BuildLocal(8, 5, "a", tt.holders, 0); ok {
			t.Errorf("%s: got %s, want none", tt.name, formatStages(parts))
		}
	}
}

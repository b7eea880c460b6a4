package chain_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/fleet"
)

func TestWhatLacks(t *testing.T) {
	tests := []struct {
		name    string
		holders []chain.Holder
		want    chain.MissingResource
	}{
		{
			"layers without a holder",
			[]chain.Holder{holder("x", "a", 0, 3, 1, 0), holder("y", "a", 5, 8, 1, ampleMemory)},
			chain.MissingResource{Layers: fleet.LayerRange{From: 3, To: 5}, RequiredMemory: 200},
		},
		{
			"the fullest layers",
			[]chain.Holder{holder("x", "a", 0, 4, 1, 1000), holder("y", "a", 4, 8, 1, 100), holder("z", "a", 4, 6, 1, 500)},
			chain.MissingResource{Layers: fleet.LayerRange{From: 6, To: 8}, Holders: 1, ID: fleet.IncarnationByID("y"), FreeMemory: 94, RequiredMemory: 200},
		},
		{"nobody", nil, chain.MissingResource{Layers: fleet.LayerRange{From: 0, To: 8}, RequiredMemory: 800}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := chain.FindMissingResource(0, 8, 100, tt.holders); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

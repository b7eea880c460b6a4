package chain_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/fleet"
)

func holder(id, centre string, from, to int, layerTime, freeMemory float64) chain.Holder {
	return chain.Holder{
		ID: fleet.IncarnationByID(fleet.ID(id)), Address: id + ":80", DataCentre: centre, Held: fleet.LayerRange{From: from, To: to},
		LayerTime: layerTime, FreeMemory: freeMemory, TotalMemory: freeMemory,
	}
}

func formatStages(stages []chain.Stage) string {
	text := ""
	for _, p := range stages {
		text += fmt.Sprintf("%s:%d-%d ", p.ID, p.Layers.From, p.Layers.To)
	}
	return text
}

const ampleMemory = 1e9

func TestBuild(t *testing.T) {
	tests := []struct {
		name    string
		holders []chain.Holder
		want    string
		err     error
	}{
		{"one engine", []chain.Holder{holder("x", "a", 0, 8, 1, ampleMemory)}, "x:0-8 ", nil},
		{"the faster engine", []chain.Holder{holder("x", "a", 0, 8, 9, ampleMemory), holder("y", "a", 0, 8, 1, ampleMemory)}, "y:0-8 ", nil},
		{
			"boundary inside ranges",
			[]chain.Holder{holder("x", "a", 0, 5, 1, ampleMemory), holder("y", "a", 3, 8, 9, ampleMemory)},
			"x:0-5 y:5-8 ", nil,
		},
		{
			"local engine before a faster remote one",
			[]chain.Holder{holder("x", "a", 0, 8, 2, ampleMemory), holder("y", "b", 0, 8, 1, ampleMemory)}, "x:0-8 ", nil,
		},
		{
			"remote engine without a local holder",
			[]chain.Holder{holder("x", "a", 0, 4, 2, ampleMemory), holder("y", "b", 4, 8, 1, ampleMemory)}, "x:0-4 y:4-8 ", nil,
		},
		{
			"full engine is skipped",
			[]chain.Holder{holder("x", "a", 0, 8, 1, 10), holder("y", "a", 0, 8, 2, ampleMemory)}, "y:0-8 ", nil,
		},
		{"no memory", []chain.Holder{holder("x", "a", 0, 8, 1, 10)}, "", chain.ErrNoMemory},
		{"coverage gap", []chain.Holder{holder("x", "a", 0, 3, 1, ampleMemory), holder("y", "a", 4, 8, 1, ampleMemory)}, "", chain.ErrNoHolder},
		{"no engines", nil, "", chain.ErrNoHolder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stages, err := chain.Build(8, 100, "a", tt.holders)
			if !errors.Is(err, tt.err) {
				t.Fatalf("got error %v, want %v", err, tt.err)
			}
			if got := formatStages(stages); got != tt.want {
				t.Errorf("got chain %s, want %s", got, tt.want)
			}
		})
	}
}

// For any set of engines, a chain must execute each layer once and in order, on engines that hold
// the layers.
func TestBuildCoversEachLayerOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	const layers = 20
	found := 0
	for range 6000 {
		var holders []chain.Holder
		for i := range 2 + random.IntN(14) {
			from := random.IntN(layers)
			to := min(layers, from+1+random.IntN(10))
			centre := string(rune('a' + random.IntN(3)))
			holders = append(holders, holder(fmt.Sprintf("e%d", i), centre, from, to, 1+9*random.Float64(), 3000*random.Float64()))
		}
		stages, err := chain.Build(layers, 100, "a", holders)
		if err != nil {
			continue
		}
		found++
		if !chain.Valid(layers, stages) {
			t.Fatalf("got %s, want each layer once", formatStages(stages))
		}
		for _, p := range stages {
			checkStage(t, p, holders)
		}
	}
	if found < 500 {
		t.Errorf("got %d chains from random engines, want 500 or more", found)
	}
}

func checkStage(t *testing.T, p chain.Stage, holders []chain.Holder) {
	t.Helper()
	for _, h := range holders {
		if h.ID != p.ID {
			continue
		}
		if !h.Held.Covers(p.Layers) {
			t.Errorf("got stage %v on %s, which holds %v", p.Layers, p.ID, h.Held)
		}
		if required := 100 * float64(p.Layers.Len()); required > h.FreeMemory {
			t.Errorf("got %v memory required at %s, want at most %v", required, p.ID, h.FreeMemory)
		}
	}
}

func TestBuildFromMidChain(t *testing.T) {
	holders := []chain.Holder{holder("x", "a", 2, 8, 1, ampleMemory), holder("y", "a", 0, 5, 1, ampleMemory)}
	stages, err := chain.BuildFrom(4, 8, 100, "a", holders)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := formatStages(stages), "x:4-8 "; got != want {
		t.Errorf("got chain %s, want %s", got, want)
	}
}

func TestValid(t *testing.T) {
	stage := func(id string, from, to int) chain.Stage {
		return chain.Stage{ID: fleet.IncarnationByID(fleet.ID(id)), Layers: fleet.LayerRange{From: from, To: to}}
	}
	tests := []struct {
		name   string
		stages []chain.Stage
		want   bool
	}{
		{"whole", []chain.Stage{stage("x", 0, 3), stage("y", 3, 8)}, true},
		{"gap", []chain.Stage{stage("x", 0, 3), stage("y", 4, 8)}, false},
		{"overlap", []chain.Stage{stage("x", 0, 4), stage("y", 3, 8)}, false},
		{"wrong order", []chain.Stage{stage("y", 3, 8), stage("x", 0, 3)}, false},
		{"missing end", []chain.Stage{stage("x", 0, 3)}, false},
		{"engine used twice", []chain.Stage{stage("x", 0, 3), stage("y", 3, 5), stage("x", 5, 8)}, false},
	}
	for _, tt := range tests {
		if got := chain.Valid(8, tt.stages); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func BenchmarkBuild(b *testing.B) {
	var holders []chain.Holder
	for i := range 99 {
		from := (i * 7) % 72
		holders = append(holders, holder(fmt.Sprintf("e%d", i), string(rune('a'+i%4)), from, from+9, 1, ampleMemory))
	}
	for b.Loop() {
		if _, err := chain.Build(80, 900, "a", holders); err != nil {
			b.Fatal(err)
		}
	}
}

// An engine with a high prompt load must be avoided if a slower engine has free capacity.
func TestBuildAvoidsBusyEngines(t *testing.T) {
	busy := holder("x", "a", 0, 8, 1, ampleMemory)
	idle := holder("y", "a", 0, 8, 1.5, ampleMemory)
	for _, tt := range []struct {
		busy float64
		want string
	}{{0.2, "x:0-8 "}, {0.95, "y:0-8 "}} {
		busy.PromptLoad = tt.busy
		stages, err := chain.Build(8, 100, "a", []chain.Holder{busy, idle})
		if err != nil {
			t.Fatal(err)
		}
		if got := formatStages(stages); got != tt.want {
			t.Errorf("prompt load %v: got chain %s, want %s", tt.busy, got, tt.want)
		}
	}
}

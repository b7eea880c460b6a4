package chain_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/fleet"
)

func holder(id, centre string, from, to int, layerTime, room float64) chain.Holder {
	return chain.Holder{
		ID: fleet.IncarnationByID(fleet.ID(id)), Address: id + ":80", DataCentre: centre, Held: fleet.LayerRange{From: from, To: to},
		LayerTime: layerTime, FreeMemory: room, TotalMemory: room,
	}
}

func formatStages(parts []chain.Stage) string {
	text := ""
	for _, p := range parts {
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
		{"the fast one", []chain.Holder{holder("x", "a", 0, 8, 9, ampleMemory), holder("y", "a", 0, 8, 1, ampleMemory)}, "y:0-8 ", nil},
		{
			"boundaries inside ranges",
			[]chain.Holder{holder("x", "a", 0, 5, 1, ampleMemory), holder("y", "a", 3, 8, 9, ampleMemory)},
			"x:0-5 y:5-8 ", nil,
		},
		{
			"home before a faster engine far away",
			[]chain.Holder{holder("x", "a", 0, 8, 2, ampleMemory), holder("y", "b", 0, 8, 1, ampleMemory)}, "x:0-8 ", nil,
		},
		{
			"far away where home has no holder",
			[]chain.Holder{holder("x", "a", 0, 4, 2, ampleMemory), holder("y", "b", 4, 8, 1, ampleMemory)}, "x:0-4 y:4-8 ", nil,
		},
		{
			"a full engine is passed over",
			[]chain.Holder{holder("x", "a", 0, 8, 1, 10), holder("y", "a", 0, 8, 2, ampleMemory)}, "y:0-8 ", nil,
		},
		{"no room", []chain.Holder{holder("x", "a", 0, 8, 1, 10)}, "", chain.ErrNoMemory},
		{"a gap", []chain.Holder{holder("x", "a", 0, 3, 1, ampleMemory), holder("y", "a", 4, 8, 1, ampleMemory)}, "", chain.ErrNoHolder},
		{"nobody", nil, "", chain.ErrNoHolder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			parts, err := chain.Build(8, 100, "a", tt.holders)
			if !errors.Is(err, tt.err) {
				t.Fatalf("got error %v, want %v", err, tt.err)
			}
			if got := formatStages(parts); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Whatever the engines hold, a chain runs each layer once and in order, and
// every engine holds its part.
func TestBuildRunsEachLayerOnce(t *testing.T) {
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
		parts, err := chain.Build(layers, 100, "a", holders)
		if err != nil {
			continue
		}
		found++
		if !chain.Valid(layers, parts) {
			t.Fatalf("got %s, which does not run each layer once", formatStages(parts))
		}
		for _, p := range parts {
			checkStage(t, p, holders)
		}
	}
	if found < 500 {
		t.Errorf("got %d chains, want 500 or more for the test to mean something", found)
	}
}

func checkStage(t *testing.T, p chain.Stage, holders []chain.Holder) {
	t.Helper()
	for _, h := range holders {
		if h.ID != p.ID {
			continue
		}
		if !h.Held.Covers(p.Layers) {
			t.Errorf("got part %v of %s, which holds %v", p.Layers, p.ID, h.Held)
		}
		if need := 100 * float64(p.Layers.Len()); need > h.FreeMemory {
			t.Errorf("got %v of memory taken at %s, want at most %v", need, p.ID, h.FreeMemory)
		}
	}
}

func TestBuildFromKeepsTheBeginning(t *testing.T) {
	holders := []chain.Holder{holder("x", "a", 2, 8, 1, ampleMemory), holder("y", "a", 0, 5, 1, ampleMemory)}
	parts, err := chain.BuildFrom(4, 8, 100, "a", holders)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := formatStages(parts), "x:4-8 "; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestCheck(t *testing.T) {
	part := func(id string, from, to int) chain.Stage {
		return chain.Stage{ID: fleet.IncarnationByID(fleet.ID(id)), Layers: fleet.LayerRange{From: from, To: to}}
	}
	tests := []struct {
		name  string
		parts []chain.Stage
		want  bool
	}{
		{"whole", []chain.Stage{part("x", 0, 3), part("y", 3, 8)}, true},
		{"gap", []chain.Stage{part("x", 0, 3), part("y", 4, 8)}, false},
		{"overlap", []chain.Stage{part("x", 0, 4), part("y", 3, 8)}, false},
		{"order", []chain.Stage{part("y", 3, 8), part("x", 0, 3)}, false},
		{"short", []chain.Stage{part("x", 0, 3)}, false},
		{"an engine twice", []chain.Stage{part("x", 0, 3), part("y", 3, 5), part("x", 5, 8)}, false},
	}
	for _, tt := range tests {
		if got := chain.Valid(8, tt.parts); got != tt.want {
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

// An engine whose prompts wait is left for a slower one with time left.
func TestBuildPassesBusyEnginesOver(t *testing.T) {
	busy := holder("x", "a", 0, 8, 1, ampleMemory)
	idle := holder("y", "a", 0, 8, 1.5, ampleMemory)
	for _, tt := range []struct {
		busy float64
		want string
	}{{0.2, "x:0-8 "}, {0.95, "y:0-8 "}} {
		busy.PromptLoad = tt.busy
		parts, err := chain.Build(8, 100, "a", []chain.Holder{busy, idle})
		if err != nil {
			t.Fatal(err)
		}
		if got := formatStages(parts); got != tt.want {
			t.Errorf("busy for %v: got %s, want %s", tt.busy, got, tt.want)
		}
	}
}

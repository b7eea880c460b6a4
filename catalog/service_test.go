package catalog_test

import (
	"math"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// A pass takes as long as its steps and its reading do, so what an engine reads in
// time falls with its layers and with its batch.
func TestReadsInTime(t *testing.T) {
	p := &catalog.Pipeline{
		Layers: 80, StepMS: 1, SequenceMS: 0.01, ReadRate: 200, StepsPerPass: 4, PromptTokensPerPass: 500, MeanPromptTokens: 1000, MeanAnswerTokens: 100,
	}
	a := catalog.Accelerator{Name: "fast", MemoryMB: 1000, StepFactor: 2, ReadFactor: 4}
	tests := []struct {
		name   string
		layers int
		batch  float64
		want   float64
	}{
		// Four steps of 2 ms and 500 tokens at 50 a ms are 18 ms for half a prompt.
		{"all layers", 80, 0, 1.0 / 36},
		{"half of them", 40, 0, 1.0 / 18},
		{"a batch of 100", 80, 100, 1.0 / 52},
	}
	for _, tt := range tests {
		if got := p.PromptRate(a, tt.layers, tt.batch); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("%s: got %v prompts a ms, want %v", tt.name, got, tt.want)
		}
	}
	p.PromptTokensPerPass = 0
	if got := p.PromptRate(a, 80, 0); !math.IsInf(got, 1) {
		t.Errorf("without a bound: got %v prompts a ms, want no bound", got)
	}
}

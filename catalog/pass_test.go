package catalog_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// Guards against a time to the first token that leaves out the decode steps of the passes over
// which a long prompt is read: requests would wait until it is too late to serve them.
func TestFirstTokenTimeCountsPasses(t *testing.T) {
	pass := catalog.Pass{DecodeSteps: 2, MaxPromptTokens: 100, PromptTokens: 40}
	for _, c := range []struct{ tokens, want float64 }{{250, 3*2*3 + 125}, {100, 6 + 50}, {0, 6 + 20}} {
		if got := pass.FirstTokenTime(c.tokens, 3, 0.5); got != c.want {
			t.Errorf("%v tokens: got %v ms, want %v", c.tokens, got, c.want)
		}
	}
}

package load

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/outcome"
)

const wholeStream = "data: {\"choices\":[{\"text\":\"ho\"}]}\n\n" +
	"data: {\"choices\":[{\"text\":\"la\"}]}\n\n" +
	"event: outcome\ndata: {\"outcome\":\"done\",\"tokens\":2}\n\ndata: [DONE]\n\n"

// TestCutStreamNeverPassesForWhole cuts a stream at every byte: it is whole
// only once its terminal event is there, with the right number of tokens.
func TestCutStreamNeverPassesForWhole(t *testing.T) {
	whole := strings.Index(wholeStream, "}\n\ndata: [DONE]") + 1
	for cut := range len(wholeStream) + 1 {
		a, err := readStream(strings.NewReader(wholeStream[:cut]), time.Now())
		if cut < whole && !errors.Is(err, ErrCut) {
			t.Fatalf("cut at %d: got %v, want ErrCut", cut, err)
		}
		if cut >= whole && (err != nil || a.Outcome != outcome.Done) {
			t.Fatalf("cut at %d: got %s (%v), want done", cut, a.Outcome, err)
		}
	}
	short := strings.Replace(wholeStream, `"tokens":2`, `"tokens":3`, 1)
	if _, err := readStream(strings.NewReader(short), time.Now()); !errors.Is(err, ErrCut) {
		t.Errorf("got %v for a stream that lacks a token, want ErrCut", err)
	}
}

package entry

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
)

var completionExamples = [][]byte{
	[]byte(`{"model":"notices","prompt":"hola","max_tokens":2}`),
	[]byte(`{"messages":[{"role":"user","content":"hola"}]}`),
	[]byte(`{`),
}

func checkParseCompletion(t *testing.T, body []byte) {
	req, err := parseCompletion(body)
	if err != nil && !errors.Is(err, ErrBadRequest) {
		t.Errorf("got %v, want ErrRequest", err)
	}
	if err == nil && req.MaxTokens == 0 {
		t.Errorf("got no tokens for %q, want the usual number", body)
	}
}

func FuzzCompletion(f *testing.F) {
	for _, e := range completionExamples {
		f.Add(e)
	}
	f.Fuzz(checkParseCompletion)
}

func TestCompletionOnManyInputs(t *testing.T) {
	fixedseed.Mutate(completionExamples, func(input []byte) { checkParseCompletion(t, input) })
}

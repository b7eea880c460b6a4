package entry

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"notices","prompt":"hola","max_tokens":2}`))
	f.Add([]byte(`{"messages":[{"role":"user","content":"hola"}]}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := parseCompletion(body)
		if err != nil && !errors.Is(err, ErrRequest) {
			t.Errorf("got %v, want ErrRequest", err)
		}
		if err == nil && req.MaxTokens == 0 {
			t.Errorf("got no tokens for %q, want the usual number", body)
		}
	})
}

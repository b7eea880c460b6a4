package standin

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestFill(t *testing.T) {
	fields := Fields{"a": 1, "list": []string{"x", "y"}, "in": Fields{"b": true}}
	for _, tt := range []struct {
		template, want string
		bad            bool
	}{
		{"a = {{a}}", "a = 1", false},
		{"{{in.b}} {{list}} {{list.1}}", "true x,y y", false},
		{"{{gone}}", "", true},
		{"{{list.2}}", "", true},
		{"{{in}}", "", true},
		{"{{a.b}}", "", true},
	} {
		got, err := Fill(tt.template, fields)
		if errors.Is(err, ErrTemplate) != tt.bad || got != tt.want {
			t.Errorf("%q: got %q, %v, want %q", tt.template, got, err, tt.want)
		}
	}
}

package standin

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestFill(t *testing.T) {
	fields := TemplateFields{"a": 1, "list": []string{"x", "y"}, "in": TemplateFields{"b": true}}
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
		got, err := FillTemplate(tt.template, fields)
		if errors.Is(err, ErrTemplate) != tt.bad || got != tt.want {
			t.Errorf("%q: got %q, %v, want %q", tt.template, got, err, tt.want)
		}
	}
}

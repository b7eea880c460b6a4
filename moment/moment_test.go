package moment_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/moment"
)

func TestAfter(t *testing.T) {
	tests := []struct {
		name           string
		m, o           moment.Moment
		after, sameEra bool
	}{
		{"a later revision", moment.At(1, 6), moment.At(1, 5), true, true},
		{"an earlier revision", moment.At(1, 5), moment.At(1, 6), false, true},
		{"the same moment", moment.At(1, 5), moment.At(1, 5), false, true},
		{"a lower revision in a later era", moment.At(2, 5), moment.At(1, 99), true, false},
		{"a higher revision in an earlier era", moment.At(1, 99), moment.At(2, 5), false, false},
		{"the same revision in a later era", moment.At(2, 5), moment.At(1, 5), true, false},
		{"a store without eras", moment.At(0, 6), moment.At(0, 5), true, true},
		{"any moment after the zero moment", moment.At(0, 1), moment.Moment{}, true, true},
	}
	for _, tt := range tests {
		if got := tt.m.After(tt.o); got != tt.after {
			t.Errorf("%s: got after=%v, want %v", tt.name, got, tt.after)
		}
		if got := tt.m.SameEra(tt.o); got != tt.sameEra {
			t.Errorf("%s: got sameEra=%v, want %v", tt.name, got, tt.sameEra)
		}
		if got, want := tt.m.InLaterEra(tt.o), tt.after && !tt.sameEra; got != want {
			t.Errorf("%s: got inLaterEra=%v, want %v", tt.name, got, want)
		}
		if got, want := moment.Latest(tt.m, tt.o) == tt.m, !tt.o.After(tt.m); got != want {
			t.Errorf("%s: got Latest %v, want m returned: %v", tt.name, moment.Latest(tt.m, tt.o), want)
		}
	}
}

func TestString(t *testing.T) {
	for m, want := range map[moment.Moment]string{moment.At(3, 105): "3:105", moment.At(0, 105): "105"} {
		if got := m.String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

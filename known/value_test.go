package known_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/known"
)

// Guards against states that are taken for one another: the zero Value for an empty reading, or a zero
// value that was read for either.
func TestMatchTellsStatesApart(t *testing.T) {
	tests := []struct {
		name   string
		value  known.Value[int]
		want   string
		isRead bool
	}{
		{"zero Value", known.Value[int]{}, "not read", false},
		{"nothing read at the time 0", known.Empty[int](0), "empty at 0", true},
		{"nothing read later", known.Empty[int](7), "empty at 7", true},
		{"zero read", known.Of(0, 7), "0 at 7", true},
		{"value read", known.Of(3, 0), "3 at 0", true},
	}
	for _, tt := range tests {
		got := known.Match(tt.value,
			func() string { return "not read" },
			func(readAt clock.Millis) string { return fmt.Sprint("empty at ", readAt) },
			func(value int, readAt clock.Millis) string { return fmt.Sprint(value, " at ", readAt) })
		if got != tt.want || tt.value.IsRead() != tt.isRead {
			t.Errorf("%s: got %q, read %v, want %q, %v", tt.name, got, tt.value.IsRead(), tt.want, tt.isRead)
		}
	}
}

package relay

import (
	"maps"
	"net/http"
	"slices"
	"testing"
)

func TestPassedOn(t *testing.T) {
	in := http.Header{
		"Connection": {"keep-alive, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"5"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Expect": {"100-continue"}, "Accept": {"a", "b"}, "X-Kept": {"2"},
	}
	got := slices.Sorted(maps.Keys(forwardedHeaders(in)))
	want := []string{"Accept", "X-Kept"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := len(in), 9; got != want {
		t.Errorf("got %d headers left in the original, want %d", got, want)
	}
}

package relay

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

func TestGate(t *testing.T) {
	const within, long = clock.Millis(600_000), clock.Millis(700_000)
	tests := []struct {
		name string
		// The gate's version, and when it was known to be the newest.
		version   uint64
		confirmed clock.Millis
		decided   uint64
		want      bool
	}{
		{"fresh", 3, 0, 3, true},
		{"older than the process, and still fresh", 3, -1000, 3, true},
		{"too old", 3, -long, 3, false},
		{"decided by an older configuration", 4, 0, 3, false},
		{"decided by one that the gate is about to be told of", 3, 0, 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newConfigGate(clocktest.NewClock(), within)
			g.confirm(catalog.New(tt.version).Edition(), tt.confirmed)
			if got := g.allows(catalog.New(tt.decided).Edition()); got != tt.want {
				t.Errorf("got open=%v, want %v", got, tt.want)
			}
		})
	}
	if got := newConfigGate(clocktest.NewClock(), within).allows(catalog.New(1).Edition()); got {
		t.Error("got a gate that is open before anything is known, want it shut")
	}
	if got := newConfigGate(clocktest.NewClock(), 0).allows(catalog.New(1).Edition()); !got {
		t.Error("got a shut gate without a bound, want it open")
	}
}

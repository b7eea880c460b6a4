package relay

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

func TestConfigGate(t *testing.T) {
	const maxAge, tooOld = clock.Millis(600_000), clock.Millis(700_000)
	const key, account = "k", "clinic"
	tests := []struct {
		name string
		// version is the gate's configuration, holder the account that its key belongs to, empty for
		// none, confirmed the time at which it was the newest one, and decided the configuration with
		// which the request was decided.
		version   uint64
		holder    string
		confirmed clock.Millis
		decided   uint64
		want      bool
	}{
		{"fresh", 3, account, 0, 3, true},
		{"confirmed before the process start, still fresh", 3, account, -1000, 3, true},
		{"stale", 3, account, -tooOld, 3, false},
		{"superseded, which has no such key", 4, "", 0, 3, false},
		{"superseded, which has the key for another account", 4, "radio", 0, 3, false},
		{"superseded, which has the key", 4, account, 0, 3, true},
		{"superseded and stale", 4, account, -tooOld, 3, false},
		{"decided with a newer configuration than the gate has", 3, "", 0, 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var opts []catalog.Option
			if tt.holder != "" {
				opts = append(opts, catalog.WithAccount(catalog.Account{Name: tt.holder}, key))
			}
			g := newConfigGate(clocktest.NewClock(), maxAge)
			g.confirm(catalog.New(tt.version, opts...), tt.confirmed)
			if got := g.allows(catalog.New(tt.decided).Edition(), key, account); got != tt.want {
				t.Errorf("got allowed=%v, want %v", got, tt.want)
			}
		})
	}
	if got := newConfigGate(clocktest.NewClock(), maxAge).allows(catalog.New(1).Edition(), key, account); got {
		t.Error("got allowed=true before any configuration, want false")
	}
	if got := newConfigGate(clocktest.NewClock(), 0).allows(catalog.New(1).Edition(), key, account); !got {
		t.Error("got allowed=false without a maximum age, want true")
	}
}

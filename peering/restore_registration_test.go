package peering

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/moment"
)

// After each store restore, a registration that the backup may lack is written again. An older
// registration is not, and neither is that of a node that was not registered.
func TestRestoreRegistration(t *testing.T) {
	tests := []struct {
		name       string
		registered bool
		after      time.Duration
		restores   int
		want       string
	}{
		{"registered right before", true, time.Second, 1, "register register"},
		{"two restores", true, time.Second, 2, "register register register"},
		{"registered long before", true, moment.MaxBackupAge.Duration(), 1, "register"},
		{"not registered", false, time.Second, 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				const maxCalls = 100
				registry := &scriptedRegistry{cancel: cancel, maxCalls: maxCalls}
				node := &fakeNode{}
				p := New(member("me"), nil, registry, node, node, clocktest.NewClock(), zap.NewNop(), http.DefaultTransport, 1)
				if tt.registered {
					if err := p.register(ctx); err != nil {
						t.Fatal(err)
					}
				}
				result := make(chan error, 1)
				go func() { result <- p.RestoreRegistration(ctx) }()
				for range tt.restores {
					time.Sleep(tt.after)
					p.StoreRestored()
					time.Sleep(registrationSpread.Duration())
				}
				cancel()
				if err := <-result; !errors.Is(err, context.Canceled) {
					t.Errorf("got error %v, want %v", err, context.Canceled)
				}
				if got := strings.Join(registry.calls, " "); got != tt.want {
					t.Errorf("got calls %q, want %q", got, tt.want)
				}
			})
		})
	}
}

package follow

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

// Checks that the configuration of a restored store does not replace a newer active one and
// does not renew its proof, and that a later write to that store is applied as usual.
func TestRestoredStoreHasOlderConfig(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{
		{raw: "5"}, {raw: "6"}, {err: ErrFullReadRequired}, {raw: "5"}, {}, {}, {raw: "6"}, {}, {raw: "7"},
	}}
	node := &configHolder{}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, node.take)
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	if got, want := node.applied, "5 6 7"; strings.Join(got, " ") != want {
		t.Errorf("got applied versions %v, want %s", got, want)
	}
	// The confirming readings are 5, 6, the 6 that was written again, the empty one after it, and 7.
	if got, want := node.confirmations, 5; got != want {
		t.Errorf("got %d confirmations, want %d", got, want)
	}
}

// Checks a restore from a backup that is older than the first configuration.
func TestRestoredStoreHasNoConfig(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "5"}, {err: ErrFullReadRequired}, {}, {}}}
	node := &configHolder{}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, node.take)
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	if got, want := node.confirmations, 1; got != want {
		t.Errorf("got %d confirmations, want %d", got, want)
	}
}

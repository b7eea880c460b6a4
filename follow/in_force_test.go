package follow

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

// A store that has come back from a copy shows an older configuration than is in force. That
// is not obeyed, and proves nothing of the one that is, however often it is shown; what is
// written next counts as ever.
func TestCopyShowsAnOlderConfiguration(t *testing.T) {
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
		t.Errorf("got versions %v, want %s", got, want)
	}
	// 5, 6, then the 6 that was written again, that there is none newer, and 7.
	if got, want := node.confirmations, 5; got != want {
		t.Errorf("got %d confirmations, want %d", got, want)
	}
}

// A copy may be of before the first configuration.
func TestCopyShowsNoConfiguration(t *testing.T) {
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

package follow

import (
	"context"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// maxRequests bounds the questions to a node that brings no answer.
const maxRequests = 20

// unresponsiveReader is another node that may be followed once the store is lost, and on whose
// connections no answer comes.
type unresponsiveReader struct {
	standalone
	store *scriptedStore
	// requests counts the questions to it, and lost the calls to the store in vain.
	requests, storeFailures int
	failed                  bool
}

func (r *unresponsiveReader) request() error {
	r.requests++
	r.store.calls = append(r.store.calls, "reader is silent")
	if r.requests >= maxRequests {
		r.store.end()
	}
	return errors.Mark(errStoreDown, ErrNoAnswer)
}

func (r *unresponsiveReader) AwaitCatalog(context.Context, catalog.Edition, clock.Millis) (CatalogReading, error) {
	return CatalogReading{}, r.request()
}

func (r *unresponsiveReader) AwaitUpstreams(context.Context, moment.Moment, clock.Millis) (FleetReading, error) {
	return FleetReading{}, r.request()
}

func (r *unresponsiveReader) Reader() Reader {
	if r.storeFailures == 0 || r.failed {
		return nil
	}
	return r
}

func (r *unresponsiveReader) Failed(Reader) { r.failed = true }
func (r *unresponsiveReader) StoreLost()    { r.storeFailures++ }

// A node that had lost the store followed another one, whose connections ended without an
// answer. That was taken for a call to the store, which is not made twice while it is
// away: the node noted the store as lost again, and asked the other one again at once,
// without a pause and without an end. Plays of the followers' simulation stood still in
// it; the stack of one shows the loop.
func TestReaderThatIsSilentWhileTheStoreIsLost(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  func(ctx context.Context, source *scriptedStore, r *unresponsiveReader) error
	}{
		{"configuration", func(ctx context.Context, source *scriptedStore, r *unresponsiveReader) error {
			tell := (&configHolder{}).take
			return NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, tell, WithReaders(r, standalone{})).Run(ctx)
		}},
		{"list", func(ctx context.Context, source *scriptedStore, r *unresponsiveReader) error {
			return NewFleet(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, func([]fleet.Change) {}, WithReaders(r, standalone{})).Run(ctx)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "1"}, {err: errStoreDown}, {err: errStoreDown}, {raw: "2"}}}
			r := &unresponsiveReader{store: source}
			if err := tt.run(ctx, source, r); !errors.Is(err, context.Canceled) {
				t.Fatalf("got error %v, want %v", err, context.Canceled)
			}
			if got, want := r.requests, 2; got != want {
				t.Errorf("got calls %v, want the other node asked %d times", source.calls, want)
			}
			if !slices.Contains(source.calls, "reader is silent") || !r.failed {
				t.Errorf("got calls %v, want the other node asked and given up", source.calls)
			}
		})
	}
}

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

// maxRequests bounds the calls to a reader that does not answer.
const maxRequests = 20

// unresponsiveReader is a reader that can be selected after a failed call to the store, and
// that never answers.
type unresponsiveReader struct {
	standalone
	store *scriptedStore
	// requests counts the calls to it, and storeFailures the failed calls to the store.
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

func (r *unresponsiveReader) ReaderFailed(Reader) { r.failed = true }
func (r *unresponsiveReader) StoreLost()          { r.storeFailures++ }

// Guards against an endless loop: during an outage, a call to an unresponsive reader was
// handled as a failed call to the store. Such a call is not repeated during an outage, so the
// reader was not marked as failed, and the node called it again immediately and without end.
func TestUnresponsiveReaderDuringOutage(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  func(ctx context.Context, source *scriptedStore, r *unresponsiveReader) error
	}{
		{"configuration", func(ctx context.Context, source *scriptedStore, r *unresponsiveReader) error {
			onProof := (&configHolder{}).take
			return NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, onProof, WithReaders(r, standalone{})).Run(ctx)
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
				t.Errorf("got calls %v, want %d calls to the reader", source.calls, want)
			}
			if !slices.Contains(source.calls, "reader is silent") || !r.failed {
				t.Errorf("got calls %v, want the reader called and reported as failed", source.calls)
			}
		})
	}
}

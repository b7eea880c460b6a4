package follow

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

// noAnswerReader is a reader whose connections are unresponsive.
type noAnswerReader struct {
	*scriptedReader
}

func (r noAnswerReader) Reader() Reader {
	if r.offersLeft == 0 {
		return nil
	}
	return r
}

func (r noAnswerReader) AwaitCatalog(context.Context, catalog.Edition, clock.Millis) (CatalogReading, error) {
	r.store.calls = append(r.store.calls, "silent")
	return CatalogReading{}, errors.Mark(errStoreDown, ErrNoAnswer)
}

func (r noAnswerReader) ReaderFailed(Reader) { r.offersLeft = 0 }

// Guards against an endless loop: during an outage, a node called a reader with unresponsive
// connections again and again without a pause, because different conditions decided about a
// repeated call and about a failed reader. The reader, and the store, must get exactly two
// calls each, in an outage or not.
func TestUnresponsiveConnectionsAreTriedTwice(t *testing.T) {
	noAnswer := errors.Mark(errStoreDown, ErrNoAnswer)
	tests := []struct {
		name    string
		answers []scriptedAnswer
		want    []string
	}{
		{"the store answers", []scriptedAnswer{{raw: "1"}}, []string{"read", "silent", "silent", "await"}},
		{"the store is unresponsive once", []scriptedAnswer{{raw: "1"}, {err: noAnswer}, {raw: "2"}}, []string{"read", "silent", "silent", "await", "await"}},
		{"the store is unresponsive", []scriptedAnswer{{raw: "1"}, {err: noAnswer}, {err: noAnswer}}, []string{"read", "silent", "silent", "await", "await", "read"}},
	}
	for _, tt := range tests {
		ctx, cancel := context.WithCancel(context.Background())
		source := &scriptedStore{t: t, end: cancel, answers: tt.answers}
		reader := noAnswerReader{&scriptedReader{store: source, offersLeft: 1}}
		f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, (&configHolder{}).take, WithReaders(reader, standalone{}))
		if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Fatalf("%s: got error %v, want %v", tt.name, err, context.Canceled)
		}
		checkCalls(t, source.calls, tt.want)
	}
	for _, failures := range []int{0, 3} {
		err := (&base{log: zap.NewNop(), readers: standalone{}}).readerFailed(t.Context(), "config", nil, trusted, noAnswer)
		if got := trusted.next(err, failures); got != targetState(1) {
			t.Errorf("after %d failures of the store: got state %d of an unresponsive reader, want one more call", failures, got)
		}
	}
}

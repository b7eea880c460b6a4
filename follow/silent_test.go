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

// noAnswerReader is a node whose connections bring no answer at all.
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

func (r noAnswerReader) Failed(Reader) { r.offersLeft = 0 }

// A node that had lost the store was offered another one whose connections were dead,
// and asked it without end and without a pause: what is asked once more before it counts
// as failed did so by another rule than what counts it. It is asked twice and no more,
// whether the store was lost before or not; so is the store.
func TestSilentConnectionsAreTriedTwice(t *testing.T) {
	silent := errors.Mark(errStoreDown, ErrNoAnswer)
	tests := []struct {
		name    string
		answers []scriptedAnswer
		want    []string
	}{
		{"the store is well", []scriptedAnswer{{raw: "1"}}, []string{"read", "silent", "silent", "await"}},
		{"the store is silent once", []scriptedAnswer{{raw: "1"}, {err: silent}, {raw: "2"}}, []string{"read", "silent", "silent", "await", "await"}},
		{"the store is silent", []scriptedAnswer{{raw: "1"}, {err: silent}, {err: silent}}, []string{"read", "silent", "silent", "await", "await", "read"}},
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
		err := (&base{log: zap.NewNop(), readers: standalone{}}).readerFailed(t.Context(), "config", nil, trusted, silent)
		if got := trusted.next(err, failures); got != targetState(1) {
			t.Errorf("after %d failures of the store: got doubt %d of a silent node, want that it is asked once more", failures, got)
		}
	}
}

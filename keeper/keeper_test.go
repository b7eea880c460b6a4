package keeper

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/work"
)

var errUnavailable = errors.New("the store is away")

// fakeStore notes what it is asked, and fails as often as it is told to.
type fakeStore struct {
	mu       sync.Mutex
	failures int
	// refusedWork is a work that it refuses for good.
	refusedWork work.ID
	calls       []string
	// lastAge is that of the request that was kept last.
	lastAge clock.Millis
	kept    []dispatch.Quarantined
}

func (f *fakeStore) call(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, name)
	if f.failures > 0 {
		f.failures--
		return errUnavailable
	}
	return nil
}

func (f *fakeStore) Quarantined(context.Context) ([]dispatch.Quarantined, []error, error) {
	return f.kept, nil, f.call("read")
}

func (f *fakeStore) Quarantine(_ context.Context, works []dispatch.Quarantined) error {
	err := f.call("keep" + callSuffix(len(works)))
	f.lastAge = works[len(works)-1].Age
	if err == nil && slices.ContainsFunc(works, func(w dispatch.Quarantined) bool { return w.Work == f.refusedWork }) {
		return errors.Mark(errUnavailable, ErrRefused)
	}
	return err
}

func (f *fakeStore) Release(_ context.Context, works []work.ID) error {
	return f.call("release" + callSuffix(len(works)))
}

func callSuffix(n int) string { return string(rune('0' + n)) }

// runKeeper runs a keeper for a time, and returns what the store was asked and how much was learnt.
func runKeeper(t *testing.T, store *fakeStore, first bool, feed func(*Keeper), d time.Duration) (calls []string, learnt []int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := New(store, clocktest.NewClock(), zap.NewNop(), first, func(list []dispatch.Quarantined) { learnt = append(learnt, len(list)) })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		feed(k)
		time.Sleep(d)
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want the end of the context", err)
		}
	})
	return store.calls, learnt
}

func TestKeeper(t *testing.T) {
	a, b := work.ID{}.ForAccount("a"), work.ID{}.ForAccount("b")
	nothing := func(*Keeper) {}
	tests := []struct {
		name   string
		store  *fakeStore
		first  bool
		feed   func(*Keeper)
		calls  []string
		learnt []int
	}{
		{"reads what is kept", &fakeStore{kept: []dispatch.Quarantined{{Work: a}}}, false, nothing, []string{"read"}, []int{1}},
		{"asks nothing at the first start", &fakeStore{}, true, nothing, nil, []int{0}},
		{"reads until the store is back", &fakeStore{failures: 2}, false, nothing, []string{"read", "read", "read"}, []int{0}},
		{
			"writes changes of a moment together, the last word on each", &fakeStore{}, true, func(k *Keeper) {
				k.Keep(dispatch.Quarantined{Work: a})
				k.Keep(dispatch.Quarantined{Work: b})
				k.Keep(dispatch.Quarantined{Work: a})
				k.Release(b)
			}, []string{"keep1", "release1"}, []int{0},
		},
		{
			"one that is refused for good does not hold up others", &fakeStore{refusedWork: b}, true, func(k *Keeper) {
				k.Keep(dispatch.Quarantined{Work: b})
				k.Keep(dispatch.Quarantined{Work: a})
				k.Release(work.ID{}.ForAccount("c"))
			}, []string{"keep2", "keep1", "keep1", "release1"}, []int{0},
		},
		{"writes until the store is back", &fakeStore{failures: 1}, true, func(k *Keeper) { k.Keep(dispatch.Quarantined{Work: a}) }, []string{"keep1", "keep1"}, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			calls, learnt := runKeeper(t, tt.store, tt.first, tt.feed, 2*time.Second)
			if !slices.Equal(calls, tt.calls) {
				t.Errorf("got calls %v, want %v", calls, tt.calls)
			}
			if !slices.Equal(learnt, tt.learnt) {
				t.Errorf("got learnt %v, want %v", learnt, tt.learnt)
			}
		})
	}
}

// A thousand verdicts while the store is away leave a bounded number to be written.
func TestKeeperIsBounded(t *testing.T) {
	store := &fakeStore{failures: 1 << 20}
	runKeeper(t, store, true, func(k *Keeper) {
		for i := range 1000 {
			k.Keep(dispatch.Quarantined{Work: work.ID{byte(i), byte(i >> 8)}})
		}
		if got := k.pending.Len(); got > maxPending {
			t.Errorf("got %d waiting, want %d at most", got, maxPending)
		}
	}, time.Second)
}

// What was written right before the store came back from a copy is written again: the last word
// on each request, so that one that was released stays released, with the age that it has.
func TestKeeperPutsBackWhatACopyLacks(t *testing.T) {
	a, b := work.ID{}.ForAccount("a"), work.ID{}.ForAccount("b")
	store := &fakeStore{}
	calls, _ := runKeeper(t, store, true, func(k *Keeper) {
		k.Keep(dispatch.Quarantined{Work: a})
		k.Keep(dispatch.Quarantined{Work: b})
		time.Sleep(time.Second)
		k.Release(a)
		time.Sleep(time.Second)
		k.StoreReturned()
		time.Sleep(moment.MaxBackupAge.Duration())
		k.StoreReturned()
	}, time.Second)
	if got, want := calls, []string{"keep2", "release1", "keep1", "release1"}; !slices.Equal(got, want) {
		t.Errorf("got calls %v, want %v", got, want)
	}
	if got, want := store.lastAge, clock.Millis(2000); got < want || got > want+100 {
		t.Errorf("got the age %d put back, want about %d", got, want)
	}
}

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

var errUnavailable = errors.New("store unavailable")

// fakeStore records its calls and fails the first ones.
type fakeStore struct {
	mu       sync.Mutex
	failures int
	// refusedWork is a request that the store permanently refuses.
	refusedWork work.ID
	calls       []string
	// lastAge is the age of the last request that was added.
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

// runKeeper runs a keeper for the given time and returns the calls to the store and the number of
// requests in each call of onRead.
func runKeeper(t *testing.T, store *fakeStore, firstStart bool, act func(*Keeper), d time.Duration) (calls []string, loaded []int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := New(store, clocktest.NewClock(), zap.NewNop(), firstStart, func(list []dispatch.Quarantined) { loaded = append(loaded, len(list)) })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		act(k)
		time.Sleep(d)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want context.Canceled", err)
		}
	})
	return store.calls, loaded
}

func TestKeeper(t *testing.T) {
	a, b := work.ID{}.ForAccount("a"), work.ID{}.ForAccount("b")
	nothing := func(*Keeper) {}
	tests := []struct {
		name       string
		store      *fakeStore
		firstStart bool
		act        func(*Keeper)
		calls      []string
		loaded     []int
	}{
		{"reads stored requests", &fakeStore{kept: []dispatch.Quarantined{{Work: a}}}, false, nothing, []string{"read"}, []int{1}},
		{"reads nothing at the first start", &fakeStore{}, true, nothing, nil, []int{0}},
		{"retries reads until the store is available", &fakeStore{failures: 2}, false, nothing, []string{"read", "read", "read"}, []int{0}},
		{
			"batches changes, the last one for each request", &fakeStore{}, true, func(k *Keeper) {
				k.Keep(dispatch.Quarantined{Work: a})
				k.Keep(dispatch.Quarantined{Work: b})
				k.Keep(dispatch.Quarantined{Work: a})
				k.Release(b)
			}, []string{"keep1", "release1"}, []int{0},
		},
		{
			"a permanently refused change does not block others", &fakeStore{refusedWork: b}, true, func(k *Keeper) {
				k.Keep(dispatch.Quarantined{Work: b})
				k.Keep(dispatch.Quarantined{Work: a})
				k.Release(work.ID{}.ForAccount("c"))
			}, []string{"keep2", "keep1", "keep1", "release1"}, []int{0},
		},
		{"retries writes until the store is available", &fakeStore{failures: 1}, true, func(k *Keeper) { k.Keep(dispatch.Quarantined{Work: a}) }, []string{"keep1", "keep1"}, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			calls, loaded := runKeeper(t, tt.store, tt.firstStart, tt.act, 2*time.Second)
			if !slices.Equal(calls, tt.calls) {
				t.Errorf("got calls %v, want %v", calls, tt.calls)
			}
			if !slices.Equal(loaded, tt.loaded) {
				t.Errorf("got onRead calls with %v requests, want %v", loaded, tt.loaded)
			}
		})
	}
}

// The number of pending changes must be bounded while the store is unavailable.
func TestPendingChangesAreBounded(t *testing.T) {
	store := &fakeStore{failures: 1 << 20}
	runKeeper(t, store, true, func(k *Keeper) {
		for i := range 1000 {
			k.Keep(dispatch.Quarantined{Work: work.ID{byte(i), byte(i >> 8)}})
		}
		if got := k.pending.Len(); got > maxPending {
			t.Errorf("got %d pending changes, want at most %d", got, maxPending)
		}
	}, time.Second)
}

// After a store restore, the changes written shortly before must be written again: the last change
// for each request, so that a released request stays released, with the current age.
func TestKeeperRewritesLostEntriesAfterRestore(t *testing.T) {
	a, b := work.ID{}.ForAccount("a"), work.ID{}.ForAccount("b")
	store := &fakeStore{}
	calls, _ := runKeeper(t, store, true, func(k *Keeper) {
		k.Keep(dispatch.Quarantined{Work: a})
		k.Keep(dispatch.Quarantined{Work: b})
		time.Sleep(time.Second)
		k.Release(a)
		time.Sleep(time.Second)
		k.StoreRestored()
		time.Sleep(moment.MaxBackupAge.Duration())
		k.StoreRestored()
	}, time.Second)
	if got, want := calls, []string{"keep2", "release1", "keep1", "release1"}; !slices.Equal(got, want) {
		t.Errorf("got calls %v, want %v", got, want)
	}
	if got, want := store.lastAge, clock.Millis(2000); got < want || got > want+100 {
		t.Errorf("got age %d in the repeated write, want about %d", got, want)
	}
}

// Guards against a stored quarantine that stays unread for seconds after an outage at the start, while the
// node serves already: the pause after a failed reading ends when the store answers another call.
func TestReadingIsRetriedWhenStoreAnswers(t *testing.T) {
	const outage = 10 * time.Second
	store := &fakeStore{failures: 1000}
	var readAt time.Duration
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		k := New(store, clocktest.NewClock(), zap.NewNop(), false, func([]dispatch.Quarantined) { readAt = time.Since(began) })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(outage)
		synctest.Wait()
		store.mu.Lock()
		store.failures = 0
		store.mu.Unlock()
		k.StoreAnswered()
		synctest.Wait()
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want %v", err, context.Canceled)
		}
	})
	if readAt != outage {
		t.Errorf("got the reading after %v, want it with the end of the outage after %v", readAt, outage)
	}
}

package reading_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/reading"
)

// Guards against a rush to the store when all nodes start together. A reader that was still
// reading its first list refused the others at once: 294 of 294 then read the list of 2,979
// upstreams from the store, and none sent a request for two seconds.
func TestInitialRequestsWaitForStartingNode(t *testing.T) {
	const listAt = 400 * time.Millisecond
	list := []fleet.Upstream{{ID: fleet.IncarnationByID("u1")}}
	// newest is after the list of the log.
	newest := moment.At(0, 20)
	tests := []struct {
		name string
		// prepare changes the log at its start, and later when the list may arrive.
		prepare, later func(l *reading.Log)
		after          moment.Moment
		wait           clock.Millis
		want           error
		wantAt         time.Duration
	}{
		{"the list arrives", nil, func(l *reading.Log) { l.SetFleet(at(10), list) }, moment.Moment{}, 600, nil, listAt},
		{"the list does not arrive during the wait", nil, nil, moment.Moment{}, 600, reading.ErrStarting, 600 * time.Millisecond},
		{"the list does not arrive", nil, nil, moment.Moment{}, 9000, reading.ErrStale, 1500 * time.Millisecond},
		{"the store fails", nil, (*reading.Log).Suspend, moment.Moment{}, 600, reading.ErrStale, listAt},
		{"the store has failed", (*reading.Log).Suspend, nil, moment.Moment{}, 600, reading.ErrStale, 0},
		{"the requester has a list", nil, nil, newest, 600, reading.ErrStale, 0},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			l := reading.NewLog(clocktest.NewClock(), testProofLifetime, 0)
			l.SetConfig(configState("v1", 0))
			if tt.prepare != nil {
				tt.prepare(l)
			}
			go func() {
				time.Sleep(listAt)
				if tt.later != nil {
					tt.later(l)
				}
			}()
			start := time.Now()
			got, err := l.AwaitFleet(t.Context(), tt.after, 0, tt.wait)
			// The timer of a wait adds 1 ms.
			if after := time.Since(start); !errors.Is(err, tt.want) || after < tt.wantAt || after > tt.wantAt+2*time.Millisecond {
				t.Errorf("%s: got error %v after %v, want %v after %v", tt.name, err, after, tt.want, tt.wantAt)
			}
			if err == nil && (!got.Whole || len(got.Changes) != len(list)) {
				t.Errorf("%s: got full=%v with %d upstreams, want all %d", tt.name, got.Whole, len(got.Changes), len(list))
			}
			// The goroutine must end before the test.
			time.Sleep(listAt)
		})
	}
}

// Guards against the same rush for the configuration. The requester must be able to tell that
// the node is starting, so that it asks again instead of reading the store.
func TestInitialConfigRequestWaitsForStartingNode(t *testing.T) {
	l := reading.NewLog(clocktest.NewClock(), testProofLifetime, 0)
	source := newSource(t, l)
	if _, err := source.AwaitCatalog(t.Context(), catalog.Edition{}, 1); !errors.Is(err, reading.ErrStarting) {
		t.Errorf("got error %v from a node without a configuration, want %v", err, reading.ErrStarting)
	}
	time.AfterFunc(20*time.Millisecond, func() { l.SetConfig(configState("v1", 0)) })
	got, err := source.AwaitCatalog(t.Context(), catalog.Edition{}, longWait)
	if err != nil || string(got.Raw) != "v1" {
		t.Errorf("got configuration %q and error %v, want the first one", got.Raw, err)
	}
}

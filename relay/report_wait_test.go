package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
)

// slowReporter is an engine whose reports take a time or fail after it.
type slowReporter struct {
	unresponsiveEngines
	delay   time.Duration
	err     error
	mu      sync.Mutex
	queries int
}

func (e *slowReporter) Report(context.Context, string, fleet.Incarnation) (EngineReport, error) {
	e.mu.Lock()
	e.queries++
	e.mu.Unlock()
	time.Sleep(e.delay)
	return EngineReport{}, e.err
}

var errNoReport = errors.New("no report")

func TestReportWait(t *testing.T) {
	for _, tt := range []struct{ gapTarget, pause, want clock.Millis }{
		{0, 110, 0}, {250, 110, 70}, {200, 110, 60}, {250, 400, 60}, {1000, 200, 400},
	} {
		if got := reportWait(tt.gapTarget, tt.pause); got != tt.want {
			t.Errorf("largest pause %d, pause %d: got %d ms, want %d", tt.gapTarget, tt.pause, got, tt.want)
		}
	}
}

// A stalled stream waited for the whole limit of a query before it left a dead engine. A stream
// that does not wait must still learn of a late answer, once for all streams of the node.
func TestGetWithin(t *testing.T) {
	tests := []struct {
		name  string
		wait  clock.Millis
		delay time.Duration
		// pause is the time for which the node does not run during the wait.
		pause time.Duration
		err   error
		// want is the error, after is when it is returned and settled how often the late result is.
		want    error
		after   time.Duration
		settled int
	}{
		{"answer in time", 70, 5 * time.Millisecond, 0, nil, nil, 5 * time.Millisecond, 0},
		{"late answer", 70, 100 * time.Millisecond, 0, nil, errReportOverdue, 70 * time.Millisecond, 1},
		{"no answer", 70, 160 * time.Millisecond, 0, errNoReport, errReportOverdue, 70 * time.Millisecond, 1},
		{"failure in time", 70, 2 * time.Millisecond, 0, errNoReport, errNoReport, 2 * time.Millisecond, 0},
		{"no limit", 0, 160 * time.Millisecond, 0, errNoReport, errNoReport, 160 * time.Millisecond, 0},
		{"node did not run", 70, 100 * time.Millisecond, 90 * time.Millisecond, nil, nil, 100 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vm := clocktest.NewVM()
				engines := &slowReporter{delay: tt.delay, err: tt.err}
				reports := newReportCache(engines, clock.New(clock.WithVM(vm)), contain.Unguarded)
				var group sync.WaitGroup
				settled := 0
				for range 3 {
					group.Go(func() {
						began := time.Now()
						_, err := reports.getWithin(context.Background(), "e:80", fleet.IncarnationByID("e"), tt.wait, func(late cachedReport) {
							settled++
							if !errors.Is(late.err, tt.err) {
								t.Errorf("got late error %v, want %v", late.err, tt.err)
							}
						})
						if !errors.Is(err, tt.want) || time.Since(began) != tt.after {
							t.Errorf("got error %v after %v, want %v after %v", err, time.Since(began), tt.want, tt.after)
						}
					})
				}
				time.Sleep(time.Millisecond)
				vm.Suspend(tt.pause)
				group.Wait()
				time.Sleep(time.Second)
				synctest.Wait()
				if settled != tt.settled || engines.queries != 1 {
					t.Errorf("got %d late results of %d queries, want %d of 1", settled, engines.queries, tt.settled)
				}
			})
		})
	}
}

package overload

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

// Guards against calls to the store and to readers that a late node gives up and makes again: their answers have
// arrived, and after all nodes have returned none has a configuration that is fresh enough to serve.
func TestTimeoutFollowsDelayDuringWait(t *testing.T) {
	tests := []struct {
		name string
		// delay is measured each Interval from lateFrom to lateUntil.
		delay, lateFrom, lateUntil clock.Millis
		limit, min, max            time.Duration
	}{
		{"a node in time", 0, 0, 0, 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		{"late before the wait", 200, 0, 100, 900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond},
		{"late during the wait", 200, 600, 3000, 500 * time.Millisecond, 1100 * time.Millisecond, 1100 * time.Millisecond},
		{"a long delay that ends", 3000, 900, 1100, 500 * time.Millisecond, 1000 * time.Millisecond, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := NewMonitor(clocktest.NewClock(), zap.NewNop(), 1)
				begin := time.Now()
				var ended time.Duration
				time.Sleep(500 * time.Millisecond)
				ctx, cancel := m.WithTimeout(context.Background(), clock.FromDuration(tt.limit))
				defer cancel()
				for ended == 0 {
					at := clock.FromDuration(time.Since(begin))
					delay := clock.Millis(0)
					if at >= tt.lateFrom && at < tt.lateUntil {
						delay = tt.delay
					}
					m.record(delay)
					select {
					case <-ctx.Done():
						ended = time.Since(begin) - 500*time.Millisecond
					case <-time.After(Interval.Duration()):
					}
				}
				if ended < tt.min || ended > tt.max {
					t.Errorf("got an end after %v, want from %v to %v", ended, tt.min, tt.max)
				}
				if got, want := context.Cause(ctx), context.DeadlineExceeded; !errors.Is(got, want) {
					t.Errorf("got the cause %v, want %v", got, want)
				}
			})
		})
	}
}

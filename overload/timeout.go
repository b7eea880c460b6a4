package overload

import (
	"context"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// hops is the number of a node's goroutines through which an answer passes before the one that
	// awaits it knows of it: the one that reads the connection, the one that reads the answer, and its
	// own. Each runs late by the node's own delay.
	hops = 3
	// reviewInterval is the time after which an extended limit is worked out anew: the delay may have
	// ended.
	reviewInterval = window
)

// Extend returns the time for which a node waits for what is due within a limit, while its goroutines run
// late by a delay: what has arrived may lie unread for as long.
func Extend(limit, delay clock.Millis) clock.Millis { return limit.Add(hops * delay) }

// Extend returns the time for which the node waits now for what is due within a limit.
func (m *Monitor) Extend(limit clock.Millis) clock.Millis { return Extend(limit, m.Delay()) }

// WithTimeout returns a context that ends when a limit has passed and the node's own delay does not
// explain that nothing has arrived. It implements clock.TimeoutFunc. Unlike a limit that is extended when
// the wait begins, it follows the delay during the wait.
func (m *Monitor) WithTimeout(ctx context.Context, limit clock.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	startedAt := m.clock.Now()
	var timer *time.Timer
	begun := make(chan struct{})
	timer = time.AfterFunc(limit.Duration(), func() {
		<-begun
		if ctx.Err() != nil {
			return
		}
		left := startedAt.Add(m.Extend(limit)).Sub(m.clock.Now())
		if left <= 0 {
			cancel(context.DeadlineExceeded)
			return
		}
		timer.Reset(min(left, reviewInterval).Duration())
	})
	close(begun)
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/internal/httpserver"
	"github.com/hoistjunction/hoistjunction/logging"
)

// drainPollInterval is the time between two looks at what is in progress.
const drainPollInterval clock.Millis = 20

// Drain begins a planned stop. The node reports that it is not ready at once. After the platform
// has deregistered it, the node closes its listeners and idle connections. It stops when its
// requests are done or when its grace period is over.
func (n *Node) Drain() {
	delay := n.overload.Delay()
	times := newStopTimes(n.clock.Now(), delay, n.settings.grace())
	n.log.Info("drain", zap.Int64("in_progress", n.relay.InProgress()), zap.Int64("grace_ms", int64(n.settings.grace())), zap.Int64("own_delay_ms", int64(delay)))
	n.relay.Stop(times.late, times.end)
	n.clock.WaitUntil(n.ctx, times.closing)
	n.log.Info("listeners_closing", zap.Int64("in_progress", n.relay.InProgress()), zap.Int64("connections", n.callers.Connections()))
	for _, s := range []*httpserver.Server{n.callers, n.peerServer} {
		if err := s.StopAccepting(); err != nil {
			n.log.Info("listener_not_closed", logging.Err(err))
		}
	}
	if !n.awaitIdle(times.end) {
		n.log.Info("drain_cut_short", zap.Int64("in_progress", n.relay.InProgress()), zap.Int64("connections", n.callers.Connections()))
		n.relay.End()
		n.awaitAnswered(n.clock.Now().Add(lastAnswerTime))
	}
	n.log.Info("drained", zap.Int64("in_progress", n.relay.InProgress()))
	close(n.drained)
}

// awaitIdle waits until no client has a connection and no request is in progress, and reports whether
// that is so before a time.
func (n *Node) awaitIdle(until clock.Millis) bool {
	return n.poll(until, func() bool { return n.callers.Connections() == 0 && n.relay.InProgress() == 0 })
}

// awaitAnswered waits until no request is in progress and all answers to clients are written.
func (n *Node) awaitAnswered(until clock.Millis) {
	if !n.poll(until, func() bool { return n.relay.InProgress() == 0 && n.callers.Answering() == 0 }) {
		n.log.Warn("requests_not_ended", zap.Int64("in_progress", n.relay.InProgress()), zap.Int("answering", n.callers.Answering()))
	}
}

// poll waits for a condition and reports whether it holds before a time.
func (n *Node) poll(until clock.Millis, condition func() bool) bool {
	for !condition() {
		now := n.clock.Now()
		if now >= until || n.ctx.Err() != nil {
			return false
		}
		n.clock.WaitUntil(n.ctx, min(until, now.Add(drainPollInterval)))
	}
	return true
}

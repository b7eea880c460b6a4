package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/logging"
)

const (
	// deregistrationDelay is how long a stopping node still accepts connections. The platform
	// checks readiness each second and deregisters a node at the second failed check.
	deregistrationDelay clock.Millis = 3000
	// lateDelay is when the platform has made two readiness checks and deregistered the node. New
	// requests come only on older connections from then on.
	lateDelay clock.Millis = 2500
	// cutoffMargin is how long before the end of the grace period a node ends the requests in
	// progress, so that its process exits by itself.
	cutoffMargin clock.Millis = 500
	// lastAnswerTime is the time for writing the answers of requests that the node ends.
	lastAnswerTime clock.Millis = 300
	// drainPollInterval is the time between two looks at what is in progress.
	drainPollInterval clock.Millis = 20
)

// Drain begins a planned stop. The node reports that it is not ready at once. After the platform
// has deregistered it, the node closes its listeners and idle connections. It stops when its
// requests are done or when its grace period is over.
func (n *Node) Drain() {
	n.log.Info("drain", zap.Int64("in_progress", n.relay.InProgress()), zap.Int64("grace_ms", int64(n.settings.grace())))
	began := n.clock.Now()
	n.relay.Stop(began.Add(lateDelay), began.Add(n.settings.grace()-cutoffMargin))
	n.clock.WaitUntil(n.ctx, began.Add(min(deregistrationDelay, n.settings.grace()-cutoffMargin)))
	n.log.Info("listeners_closing", zap.Int64("in_progress", n.relay.InProgress()), zap.Int64("connections", n.callers.connections()))
	for _, s := range []*server{n.callers, n.peerServer} {
		if err := s.stopAccepting(); err != nil {
			n.log.Info("listener_not_closed", logging.Err(err))
		}
	}
	end := began.Add(n.settings.grace() - cutoffMargin)
	if !n.awaitIdle(end) {
		n.log.Info("drain_cut_short", zap.Int64("in_progress", n.relay.InProgress()), zap.Int64("connections", n.callers.connections()))
		n.relay.End()
		n.awaitAnswered(n.clock.Now().Add(lastAnswerTime))
	}
	n.log.Info("drained", zap.Int64("in_progress", n.relay.InProgress()))
	close(n.drained)
}

// awaitIdle waits until no client has a connection and no request is in progress, and reports whether
// that is so before a time.
func (n *Node) awaitIdle(until clock.Millis) bool {
	return n.poll(until, func() bool { return n.callers.connections() == 0 && n.relay.InProgress() == 0 })
}

// awaitAnswered waits until no request is in progress and all answers to clients are written.
func (n *Node) awaitAnswered(until clock.Millis) {
	if !n.poll(until, func() bool { return n.relay.InProgress() == 0 && n.callers.answering() == 0 }) {
		n.log.Warn("requests_not_ended", zap.Int64("in_progress", n.relay.InProgress()), zap.Int("answering", n.callers.answering()))
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

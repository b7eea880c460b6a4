package node

import (
	"context"

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
	// cutoffMargin is how long before the end of the grace period a node cuts off requests in
	// progress, so that its process exits by itself.
	cutoffMargin clock.Millis = 500
)

// Drain begins a planned stop. The node reports that it is not ready at once. After the platform
// has deregistered it, the node closes its listeners and idle connections. It stops when its
// requests are done or when its grace period is over.
func (n *Node) Drain() {
	n.log.Info("drain", zap.Int64("in_progress", n.relay.InProgress()), zap.Int64("grace_ms", int64(n.settings.grace())))
	began := n.clock.Now()
	n.relay.Stop(began.Add(lateDelay), began.Add(n.settings.grace()-cutoffMargin))
	n.clock.WaitUntil(n.ctx, began.Add(min(deregistrationDelay, n.settings.grace()-cutoffMargin)))
	n.log.Info("listeners_closing", zap.Int64("in_progress", n.relay.InProgress()))
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	go func() {
		n.clock.WaitUntil(ctx, began.Add(n.settings.grace()-cutoffMargin))
		cancel()
	}()
	for _, server := range n.servers {
		// Shutdown closes the listener and idle connections, and waits for requests in progress.
		if err := server.Shutdown(ctx); err != nil {
			n.log.Info("drain_cut_short", zap.Int64("in_progress", n.relay.InProgress()), logging.Err(err))
		}
	}
	n.log.Info("drained", zap.Int64("in_progress", n.relay.InProgress()))
	close(n.drained)
}

package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
)

// handleWake runs after the VM was suspended. The clock already adds the suspension to the age
// of the node's data. Everything that relies on timers is reset: store calls in progress, which
// may never be answered, the deadlines of requests, and kept connections.
func (n *Node) handleWake(suspension clock.Millis) {
	n.log.Warn("suspended", zap.Int64("for_ms", int64(suspension)))
	n.store.ResetConnections()
	n.engines.Close()
	n.relay.HandleVMResumed()
}

package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
)

// handleWake takes in that the VM goes on after it was suspended for a time. What the node knows
// is older by that, which the clock tells; what counts in timers is set anew: calls to the
// store that were under way, which may never be answered, requests' deadlines, and kept
// connections.
func (n *Node) handleWake(slept clock.Millis) {
	n.log.Warn("suspended", zap.Int64("for_ms", int64(slept)))
	n.store.ResetConnections()
	n.engines.Close()
	n.relay.HandleVMResumed()
}

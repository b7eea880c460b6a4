package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// storeCallsLogInterval is how often a node logs how often it has called the store. It
// bounds what is lost of the account with a node that is killed.
const storeCallsLogInterval = 10 * time.Second

// logStoreCalls logs from time to time how often the node has called the store,
// by what for, where that has changed: each call is priced.
func (n *Node) logStoreCalls(ctx context.Context) error {
	tick := time.NewTicker(storeCallsLogInterval)
	defer tick.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if calls := n.store.Calls().String(); calls != last {
			last = calls
			n.log.Info("store_calls", zap.String("since_start", calls))
		}
	}
}

package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// storeCallsLogInterval is how often a node logs its store calls. It bounds the calls that are
// missing from the log if a node is killed.
const storeCallsLogInterval = 10 * time.Second

// logStoreCalls periodically logs the number of store calls by purpose if it has changed. Each
// store call is charged for.
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

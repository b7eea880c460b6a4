package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/moment"
)

// restoreEntries writes again what the store may have lost with its return from a copy. Each node
// does so with what it has written itself; the one that reads the store for its data centre
// knows all that was quarantined, and stands in for nodes that have ended since.
func (n *Node) restoreEntries() {
	n.log.Info("put_back")
	n.peers.StoreRestored()
	n.keeper.StoreRestored()
	if !n.roster.IsReader(n.clock.Now()) {
		return
	}
	kept := 0
	for _, w := range n.quarantined.list() {
		if w.Age < moment.MaxBackupAge {
			n.keeper.Keep(w)
			kept++
		}
	}
	n.log.Info("quarantine_put_back", zap.Int("requests", kept))
}

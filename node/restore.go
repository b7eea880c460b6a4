package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/moment"
)

// restoreEntries rewrites entries that a store restore may have lost. Each node rewrites its own
// entries. The reader of a data centre has all quarantined requests, and also rewrites those of
// nodes that have stopped since.
func (n *Node) restoreEntries() {
	n.log.Info("put_back")
	n.peers.StoreRestored()
	n.keeper.StoreRestored()
	if !n.roster.IsReader(n.clock.Now()) {
		return
	}
	count := 0
	for _, w := range n.quarantined.list() {
		if w.Age < moment.MaxBackupAge {
			n.keeper.Keep(w)
			count++
		}
	}
	n.log.Info("quarantine_put_back", zap.Int("requests", count))
}

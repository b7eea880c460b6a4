package node

import (
	"sync"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/platform"
)

// known is what the node tells its peers, and where it takes in what they
// tell. It is safe for concurrent use.
type known struct {
	node      *Node
	mu        sync.Mutex
	raw       []byte
	version   uint64
	confirmed clock.Millis
}

// set notes a configuration, and returns whether it is newer than the one
// known.
func (k *known) set(c *catalog.Catalog, raw []byte, confirmed clock.Millis) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed = max(k.confirmed, confirmed)
	if c == nil || c.Version() <= k.version {
		return false
	}
	k.raw, k.version = raw, c.Version()
	return true
}

// Config implements peering.Knowledge.
func (k *known) Config() (raw []byte, version uint64, confirmed clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.raw, k.version, k.confirmed
}

// Fleet implements peering.Knowledge.
func (k *known) Fleet() ([]fleet.Upstream, bool) { return k.node.fleets.Shown() }

// LearnConfig implements peering.Learner.
func (k *known) LearnConfig(raw []byte, confirmed clock.Millis) {
	if len(raw) == 0 {
		k.node.setCatalog(nil, nil, confirmed)
		return
	}
	c, err := platform.DecodeCatalog(raw)
	if err != nil {
		k.node.log.Error("config_unreadable", zap.Error(err))
		return
	}
	k.node.setCatalog(c, raw, confirmed)
}

// LearnFleet implements peering.Learner.
func (k *known) LearnFleet(list []fleet.Upstream) { k.node.fleets.Learn(list) }

// LearnMembers implements peering.Learner.
func (k *known) LearnMembers(all, local, rank int) {
	k.node.relay.SetPeers(all, local)
	k.node.placer.Tell(k.node.life, placement.RankMsg{Delay: plannerDelay(rank)})
}

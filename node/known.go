package node

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/wire"
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

// Listed implements peering.Knowledge.
func (k *known) Listed() bool { return k.node.fleets.Listed() }

// LearnConfig implements peering.Learner.
func (k *known) LearnConfig(raw []byte, confirmed clock.Millis) {
	if len(raw) == 0 {
		k.node.setCatalog(nil, nil, confirmed)
		return
	}
	c, err := platform.DecodeCatalog(raw)
	if err != nil {
		k.node.log.Error("config_unreadable", logging.Err(err))
		return
	}
	k.node.setCatalog(c, raw, confirmed)
}

// LearnFleet implements peering.Learner.
func (k *known) LearnFleet(list []fleet.Upstream) { k.node.fleets.Learn(list) }

// nearAll is up to how many nodes tell each other what they have in use across
// data centres too, where chains go when an engine is lost. In larger systems
// each tells its own data centre only, and one node adds up what its data centre
// has in use and tells the others: the datagrams would grow with the square of
// the nodes, and bytes between data centres are dear.
const nearAll = 24

// LearnMembers implements peering.Learner.
func (k *known) LearnMembers(others []*wire.Member, rank int) {
	k.node.roster.SetGroup(readingGroup(others, k.node.settings.DataCentre))
	k.node.members.set(others, rank)
}

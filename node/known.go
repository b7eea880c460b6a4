package node

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/wire"
)

// known is what the node tells its peers, and where it takes in what they
// tell. It is safe for concurrent use.
type known struct {
	node    *Node
	mu      sync.Mutex
	inForce follow.ActiveConfig
}

// take takes in what was shown of the configuration, and returns what is in force then.
func (k *known) take(p follow.Proof) (follow.ProofResult, follow.ActiveConfig) {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := k.inForce.Apply(p)
	return taken, k.inForce
}

// Config implements peering.LocalState.
func (k *known) Config() follow.ActiveConfig {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inForce
}

// Fleet implements peering.LocalState.
func (k *known) Fleet() ([]fleet.Upstream, bool) { return k.node.fleets.ConfirmedList() }

// Listed implements peering.LocalState.
func (k *known) Listed() bool { return k.node.fleets.HasList() }

// LearnConfig implements peering.Receiver.
func (k *known) LearnConfig(edition catalog.Edition, raw []byte, confirmed clock.Millis) {
	proof := follow.Proof{Edition: edition, Confirmed: confirmed}
	if len(raw) > 0 {
		c, err := platform.DecodeCatalog(raw, edition.Written())
		if err != nil {
			k.node.log.Error("config_unreadable", logging.Err(err))
			return
		}
		proof.Edition, proof.Catalog, proof.Raw = c.Edition(), c, raw
	}
	k.node.setCatalog(proof)
}

// LearnFleet implements peering.Receiver.
func (k *known) LearnFleet(list []fleet.Upstream) { k.node.fleets.AddPeerList(list) }

// nearAll is up to how many nodes tell each other what they have in use across
// data centres too, where chains go when an engine is lost. In larger systems
// each tells its own data centre only, and one node adds up what its data centre
// has in use and tells the others: the datagrams would grow with the square of
// the nodes, and bytes between data centres are dear.
const nearAll = 24

// LearnMembers implements peering.Receiver.
func (k *known) LearnMembers(others []*wire.Member, rank int) {
	k.node.roster.SetGroup(readingGroup(others, k.node.settings.DataCentre))
	k.node.members.set(others, rank)
}

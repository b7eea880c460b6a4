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

// localState is what the node tells its peers, and where it takes in what they
// tell. It is safe for concurrent use.
type localState struct {
	node   *Node
	mu     sync.Mutex
	active follow.ActiveConfig
}

// apply takes in what was shown of the configuration, and returns what is in force then.
func (k *localState) apply(p follow.Proof) (follow.ProofResult, follow.ActiveConfig) {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := k.active.Apply(p)
	return taken, k.active
}

// Config implements peering.LocalState.
func (k *localState) Config() follow.ActiveConfig {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.active
}

// Fleet implements peering.LocalState.
func (k *localState) Fleet() ([]fleet.Upstream, bool) { return k.node.fleetFollower.ConfirmedList() }

// HasList implements peering.LocalState.
func (k *localState) HasList() bool { return k.node.fleetFollower.HasList() }

// ReceiveConfig implements peering.Receiver.
func (k *localState) ReceiveConfig(edition catalog.Edition, raw []byte, confirmed clock.Millis) {
	proof := follow.Proof{Edition: edition, Confirmed: confirmed}
	if len(raw) > 0 {
		c, err := platform.DecodeCatalog(raw, edition.Written())
		if err != nil {
			k.node.log.Error("config_unreadable", logging.Err(err))
			return
		}
		proof.Edition, proof.Catalog, proof.Raw = c.Edition(), c, raw
	}
	k.node.applyConfig(proof)
}

// ReceiveFleet implements peering.Receiver.
func (k *localState) ReceiveFleet(list []fleet.Upstream) { k.node.fleetFollower.AddPeerList(list) }

// maxMeshUsageNodes is up to how many nodes tell each other what they have in use across
// data centres too, where chains go when an engine is lost. In larger systems
// each tells its own data centre only, and one node adds up what its data centre
// has in use and tells the others: the datagrams would grow with the square of
// the nodes, and bytes between data centres are dear.
const maxMeshUsageNodes = 24

// ReceiveMembers implements peering.Receiver.
func (k *localState) ReceiveMembers(others []*wire.Member, rank int) {
	k.node.roster.SetGroup(readingGroup(others, k.node.settings.DataCentre))
	k.node.members.set(others, rank)
}

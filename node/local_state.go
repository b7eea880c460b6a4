package node

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/wire"
)

// localState is the state that the node shares with its peers; it also applies the state that
// peers send. It is safe for concurrent use.
type localState struct {
	node   *Node
	mu     sync.Mutex
	active follow.ActiveConfig
	// provenIn is the latest moment at which the store was told the active configuration. Its era is that
	// of the reading.
	provenIn moment.Moment
}

// apply applies a proof of the store's configuration, and returns its result and the active
// configuration.
func (s *localState) apply(p follow.Proof) (follow.ProofResult, follow.ActiveConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.active.Apply(p)
	if result != follow.Outdated {
		s.provenIn = moment.Latest(s.provenIn, p.Edition.Written())
	}
	return result, s.active
}

// ProvenIn implements peering.LocalState.
func (s *localState) ProvenIn() moment.Moment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.provenIn
}

// Config implements peering.LocalState.
func (s *localState) Config() follow.ActiveConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Fleet implements peering.LocalState.
func (s *localState) Fleet() ([]fleet.Upstream, bool) { return s.node.fleetFollower.ConfirmedList() }

// StoreEra implements peering.LocalState.
func (s *localState) StoreEra() moment.Moment { return s.node.store.Era() }

// HasList implements peering.LocalState.
func (s *localState) HasList() bool { return s.node.fleetFollower.HasList() }

// ReceiveConfig implements peering.Receiver.
func (s *localState) ReceiveConfig(edition catalog.Edition, raw []byte, confirmed clock.Millis) {
	proof := follow.Proof{Edition: edition, Confirmed: confirmed}
	if len(raw) > 0 {
		c, err := platform.DecodeCatalog(raw, edition.Written())
		if err != nil {
			s.node.log.Error("config_unreadable", logging.Err(err))
			return
		}
		proof.Edition, proof.Catalog, proof.Raw = c.Edition(), c, raw
	}
	s.node.applyConfig(proof)
}

// ReceiveFleet implements peering.Receiver.
func (s *localState) ReceiveFleet(list []fleet.Upstream) { s.node.fleetFollower.AddPeerList(list) }

// maxMeshUsageNodes bounds the systems in which all nodes send their usage to each other across
// data centres too, since chains use engines of other data centres when a local one crashes. In
// larger systems a node sends its usage within its own data centre, and one node sends the sum
// of its data centre to the others: otherwise datagrams would grow with the square of the number
// of nodes, and traffic between data centres is expensive.
const maxMeshUsageNodes = 24

// ReceiveMembers implements peering.Receiver.
func (s *localState) ReceiveMembers(others []*wire.Member, rank int, complete bool) {
	s.node.roster.SetGroup(readingGroup(others, s.node.settings.DataCentre))
	s.node.members.set(others, rank, complete)
}

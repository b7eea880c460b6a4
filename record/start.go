package record

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Header says how a model was made.
type Header struct {
	Node    *wire.NodeRecord `json:"node"`
	Seed    uint64           `json:"seed"`
	Seeds   []string         `json:"seeds,omitempty"`
	Grace   clock.Millis     `json:"grace,omitempty"`
	Policy  core.Policy      `json:"policy"`
	Dropped uint64           `json:"dropped,omitempty"`
}

// NewModel returns a model that is made so. The secret of the tickets is not
// recorded; a replay has another, the same each time.
func (s Header) NewModel(opts ...core.Option) *core.Model {
	node := &wire.NodeRecord{
		Name: s.Node.GetName(), Incarnation: s.Node.GetIncarnation(), DataCentre: s.Node.GetDataCentre(),
		Address: s.Node.GetAddress(), StartedMs: s.Node.GetStartedMs(),
	}
	all := []core.Option{
		core.WithNode(node), core.WithSeed(s.Seed), core.WithSeedPeers(s.Seeds), core.WithDrainGrace(s.Grace),
		core.WithPolicy(s.Policy), core.WithSecret([]byte("replay")),
	}
	return core.New(append(all, opts...)...)
}

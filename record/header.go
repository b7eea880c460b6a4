package record

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Header holds the parameters that a recorded model was created with, and the
// number of messages that the recording dropped.
type Header struct {
	Node    *wire.NodeRecord `json:"node"`
	Seed    uint64           `json:"seed"`
	Seeds   []string         `json:"seeds,omitempty"`
	Grace   clock.Millis     `json:"grace,omitempty"`
	Policy  core.Policy      `json:"policy"`
	Dropped uint64           `json:"dropped,omitempty"`
}

// NewModel returns a model with the parameters in the header. The secret for
// signing tickets is not recorded, so a replay uses a fixed one.
func (h Header) NewModel(opts ...core.Option) *core.Model {
	node := &wire.NodeRecord{
		Name: h.Node.GetName(), Incarnation: h.Node.GetIncarnation(), DataCentre: h.Node.GetDataCentre(),
		Address: h.Node.GetAddress(), StartedMs: h.Node.GetStartedMs(),
	}
	all := []core.Option{
		core.WithNode(node), core.WithSeed(h.Seed), core.WithSeedPeers(h.Seeds), core.WithDrainGrace(h.Grace),
		core.WithPolicy(h.Policy), core.WithSecret([]byte("replay")),
	}
	return core.New(append(all, opts...)...)
}

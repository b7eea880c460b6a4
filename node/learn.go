package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
)

// setCatalog takes a configuration that was the newest at a time; nil where
// only the time is new. An older version than the one in force changes nothing.
func (n *Node) setCatalog(c *catalog.Catalog, raw []byte, confirmed clock.Millis) {
	newer := n.known.set(c, raw, confirmed)
	n.relay.SetCatalog(c, confirmed)
	if !newer {
		return
	}
	n.log.Info("config", zap.Uint64("version", c.Version()), zap.Int64("age_ms", int64(clock.AgeOf(confirmed, n.clock.Now()))))
	n.placer.Tell(n.life, placement.CatalogMsg{Catalog: c})
}

func (n *Node) setSilent(upstream string, silent bool) {
	n.log.Info("silent", zap.String("upstream", upstream), zap.Bool("silent", silent))
	n.placer.Tell(n.life, placement.SilentMsg{Upstream: upstream, Silent: silent})
}

// share tells other nodes what this one has in use. The node that reads the
// store for its data centre tells others what all of them have.
func (n *Node) share(used, total map[string]float64) {
	n.usage.Share(used)
	if n.roster.Reads(n.clock.Now()) {
		n.usage.ShareTotal(total)
	}
}

// setUsage takes what another node has told.
func (n *Node) setUsage(from *wire.Member, msg usage.Msg) {
	n.peers.Heard(from)
	if msg.Total {
		n.relay.SetUsage("all of "+from.GetDataCentre(), msg.Used, true)
		return
	}
	n.roster.Heard(n.clock.Now(), from.GetName(), msg.Followable)
	n.relay.SetUsage(from.GetName(), msg.Used, false)
}

// tellPlaced tells the own relay and other nodes of an order of this node's.
func (n *Node) tellPlaced(upstream string, layers fleet.Range, holds bool) {
	n.setPlaced(upstream, layers, holds)
	n.usage.Placed(upstream, layers, holds)
}

// setPlaced takes an order that another node has given.
func (n *Node) setPlaced(upstream string, layers fleet.Range, holds bool) {
	n.relay.SetPlaced(upstream, layers, holds)
	n.placer.Tell(n.life, placement.PlacedMsg{Upstream: upstream, Layers: layers, Holds: holds})
}

func (n *Node) setFleet(changes []fleet.Change) {
	n.relay.SetFleet(changes)
	n.placer.Tell(n.life, placement.FleetMsg{Changes: changes})
}

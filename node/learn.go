package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
)

// setCatalog takes what was shown of the configuration, and returns what is in force then. The
// follower of the store and peers both show some: all that hangs on it is told in one order.
func (n *Node) setCatalog(p follow.Proof) follow.ActiveConfig {
	n.obeying.Lock()
	defer n.obeying.Unlock()
	taken, inForce := n.known.take(p)
	age := zap.Int64("age_ms", int64(clock.AgeOf(p.Confirmed, n.clock.Now())))
	switch taken {
	case follow.Outdated:
		if n.outdated != p.Edition {
			n.outdated = p.Edition
			n.log.Warn("config_outdated", zap.Stringer("version", p.Edition), zap.Stringer("in_force", inForce.Edition), age)
		}
	case follow.Renewed:
		n.relay.SetCatalog(nil, inForce.Confirmed)
	case follow.Replaced:
		n.log.Info("config", zap.Stringer("version", p.Edition), zap.Stringer("written", p.Edition.Written()), age)
		n.relay.SetCatalog(p.Catalog, p.Confirmed)
		n.placer.Tell(placement.CatalogMsg{Catalog: p.Catalog})
		n.fleets.SetServices(serviceNames(p.Catalog))
	}
	return inForce
}

// askBehind asks a node for its configuration that has shown that it knows a newer one: it has
// outlasted a return of the store from a copy that this node has not. One is asked at a time.
func (n *Node) askBehind(address string) {
	if n.asking.Swap(true) {
		return
	}
	go func() {
		defer n.asking.Store(false)
		n.peers.AskAt(n.life, address)
	}()
}

// setSaidLeaving takes in that an upstream has said that it is leaving.
func (n *Node) setSaidLeaving(upstream fleet.Incarnation) { n.fleets.MarkLeaving(upstream) }

// setReplaced takes in that another upstream has answered at the address of one.
func (n *Node) setReplaced(upstream fleet.Incarnation, address string) {
	n.fleets.MarkReplaced(upstream, address)
}

// serviceNames returns the services of a configuration.
func serviceNames(c *catalog.Catalog) []string {
	var names []string
	c.Services(func(s *catalog.Service) { names = append(names, s.Name) })
	return names
}

// setSilent tells the planner that an engine does not answer, or does again, and other
// nodes of one that they have not told of.
func (n *Node) setSilent(cmd dispatch.SilentCmd) {
	n.log.Info("silent", zap.Stringer("upstream", cmd.Upstream), zap.Bool("silent", cmd.Silent), zap.Bool("agreed", cmd.Agreed))
	n.placer.Tell(placement.SilentMsg{Upstream: cmd.Upstream, Silent: cmd.Silent, Agreed: cmd.Agreed})
	if cmd.Silent && !cmd.Agreed {
		n.usage.Silent(cmd.Upstream)
	}
}

// share tells other nodes what this one has in use. A hub tells its leaves what all have,
// and the node that leads, or that reads the store for its data centre, tells others what
// all of that have.
func (n *Node) share(cmd dispatch.ShareCmd) {
	now := n.clock.Now()
	circle := n.roster.Topology(now)
	n.usage.Share(cmd.Used, cmd.Limits)
	if circle.FullMesh && n.roster.IsReader(now) || circle.IsFirstHub() {
		n.usage.ShareTotal(cmd.Total, circle.PeerCount+1, cmd.Limits)
	}
	switch {
	case circle.IsFirstHub():
		n.usage.ShareWhole(cmd.Whole, cmd.HeardOf, cmd.Nodes, cmd.Limits)
	case circle.IsHub:
		n.usage.ShareLife()
	}
}

// listener takes what other nodes tell. It implements usage.Listener.
type listener struct{ node *Node }

// HearUse implements usage.Listener.
func (l listener) HearUse(from *wire.Member, msg usage.Msg) {
	n := l.node
	n.peers.Heard(from)
	n.peers.Told(msg.Hubs)
	n.compareQuarantine(from, msg.Quarantine)
	for engine := range msg.Used {
		n.meet(engine)
	}
	if !msg.Total {
		n.roster.Heard(n.clock.Now(), from.GetName(), msg.Followable)
	}
	n.relay.HandleUsage(dispatch.UsageMsg{
		Node: from.GetName(), Used: msg.Used, Total: msg.Total, Whole: msg.Whole, HeardOf: msg.HeardOf, Nodes: msg.Nodes,
		DataCentre: from.GetDataCentre(), Limits: msg.Limits,
	})
}

// HearAsk implements usage.Listener.
func (l listener) HearAsk(from *wire.Member, ask limit.Ask) {
	l.node.meet(ask.Upstream)
	l.node.relay.HandlePermitRequest(from.GetName(), ask)
}

// HearGrant implements usage.Listener.
func (l listener) HearGrant(from *wire.Member, grant limit.Grant) {
	l.node.relay.HandlePermitGrant(from.GetName(), grant)
}

// HearPlaced implements usage.Listener.
func (l listener) HearPlaced(upstream fleet.Incarnation, layers fleet.Range, holds bool) {
	l.node.meet(upstream)
	l.node.setPlaced(upstream, layers, holds)
}

// HearSilent implements usage.Listener.
func (l listener) HearSilent(from *wire.Member, upstream fleet.Incarnation) {
	l.node.meet(upstream)
	if !l.node.silences.news(l.node.clock.Now(), upstream) {
		return
	}
	l.node.log.Info("silent_told", zap.Stringer("upstream", upstream), zap.String("by", from.GetName()))
	l.node.relay.HandlePeerUnresponsive(upstream)
}

// meet takes in that another node speaks of a run of an upstream, which may be a later one
// than the one that this node knows.
func (n *Node) meet(upstream fleet.Incarnation) {
	if upstream.Born() != 0 {
		n.fleets.Supersede(upstream)
	}
}

// tellPlaced tells the own relay and other nodes of an order of this node's.
func (n *Node) tellPlaced(upstream fleet.Incarnation, layers fleet.Range, holds bool) {
	n.setPlaced(upstream, layers, holds)
	n.usage.Placed(upstream, layers, holds)
}

// setPlaced takes an order that this node or another one has given.
func (n *Node) setPlaced(upstream fleet.Incarnation, layers fleet.Range, holds bool) {
	n.relay.HandlePlacement(upstream, layers, holds)
	n.placer.Tell(placement.PlacedMsg{Upstream: upstream, Layers: layers, Holds: holds})
}

func (n *Node) setFleet(changes []fleet.Change) {
	n.relay.UpdateFleet(changes)
	n.placer.Tell(placement.FleetMsg{Changes: changes})
}

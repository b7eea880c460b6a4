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

// applyConfig takes what was shown of the configuration, and returns what is in force then. The
// follower of the store and peers both show some: all that hangs on it is told in one order.
func (n *Node) applyConfig(p follow.Proof) follow.ActiveConfig {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	taken, inForce := n.local.apply(p)
	age := zap.Int64("age_ms", int64(clock.AgeOf(p.Confirmed, n.clock.Now())))
	switch taken {
	case follow.Outdated:
		if n.lastOutdated != p.Edition {
			n.lastOutdated = p.Edition
			n.log.Warn("config_outdated", zap.Stringer("version", p.Edition), zap.Stringer("in_force", inForce.Edition), age)
		}
	case follow.Renewed:
		n.relay.SetCatalog(nil, inForce.Confirmed)
	case follow.Replaced:
		n.log.Info("config", zap.Stringer("version", p.Edition), zap.Stringer("written", p.Edition.Written()), age)
		n.relay.SetCatalog(p.Catalog, p.Confirmed)
		n.placer.Send(placement.CatalogMsg{Catalog: p.Catalog})
		n.fleetFollower.SetServices(serviceNames(p.Catalog))
	}
	return inForce
}

// queryNewerConfig asks a node for its configuration that has shown that it knows a newer one: it has
// outlasted a return of the store from a copy that this node has not. One is asked at a time.
func (n *Node) queryNewerConfig(address string) {
	if n.queryingConfig.Swap(true) {
		return
	}
	go func() {
		defer n.queryingConfig.Store(false)
		n.peers.QueryAddress(n.ctx, address)
	}()
}

// markLeaving takes in that an upstream has said that it is leaving.
func (n *Node) markLeaving(upstream fleet.Incarnation) { n.fleetFollower.MarkLeaving(upstream) }

// markReplaced takes in that another upstream has answered at the address of one.
func (n *Node) markReplaced(upstream fleet.Incarnation, address string) {
	n.fleetFollower.MarkReplaced(upstream, address)
}

// serviceNames returns the services of a configuration.
func serviceNames(c *catalog.Catalog) []string {
	var names []string
	c.EachService(func(s *catalog.Service) { names = append(names, s.Name) })
	return names
}

// reportUnresponsive tells the planner that an engine does not answer, or does again, and other
// nodes of one that they have not told of.
func (n *Node) reportUnresponsive(cmd dispatch.ResponsivenessCmd) {
	n.log.Info("silent", zap.Stringer("upstream", cmd.Upstream), zap.Bool("silent", cmd.Unresponsive), zap.Bool("agreed", cmd.Confirmed))
	n.placer.Send(placement.ResponsivenessMsg{Upstream: cmd.Upstream, Unresponsive: cmd.Unresponsive, Confirmed: cmd.Confirmed})
	if cmd.Unresponsive && !cmd.Confirmed {
		n.usage.Unresponsive(cmd.Upstream)
	}
}

// sendUsage tells other nodes what this one has in use. A hub tells its leaves what all have,
// and the node that leads, or that reads the store for its data centre, tells others what
// all of that have.
func (n *Node) sendUsage(cmd dispatch.ShareUsageCmd) {
	now := n.clock.Now()
	circle := n.roster.Topology(now)
	n.usage.SendUsage(cmd.Used, cmd.Limits)
	if circle.FullMesh && n.roster.IsReader(now) || circle.IsFirstHub() {
		n.usage.SendDataCentreTotal(cmd.WholeDataCentre, circle.PeerCount+1, cmd.Limits)
	}
	switch {
	case circle.IsFirstHub():
		n.usage.SendAllNodes(cmd.AllNodes, cmd.IncludedDataCentres, cmd.Nodes, cmd.Limits)
	case circle.IsHub:
		n.usage.SendHeartbeat()
	}
}

// usageListener takes what other nodes tell. It implements usage.Listener.
type usageListener struct{ node *Node }

// ReceiveUsage implements usage.Listener.
func (l usageListener) ReceiveUsage(from *wire.Member, msg usage.Report) {
	n := l.node
	n.peers.AddSender(from)
	n.peers.AddReported(msg.Hubs)
	n.compareQuarantine(from, msg.QuarantineDigest)
	for engine := range msg.Used {
		n.observeIncarnation(engine)
	}
	if !msg.WholeDataCentre {
		n.roster.UpdateStatus(n.clock.Now(), from.GetName(), msg.Followable)
	}
	n.relay.HandleUsage(dispatch.UsageMsg{
		Node: from.GetName(), Used: msg.Used, WholeDataCentre: msg.WholeDataCentre, AllNodes: msg.AllNodes, IncludedDataCentres: msg.IncludedDataCentres, Nodes: msg.Nodes,
		DataCentre: from.GetDataCentre(), Limits: msg.Limits,
	})
}

// ReceivePermitRequest implements usage.Listener.
func (l usageListener) ReceivePermitRequest(from *wire.Member, ask limit.PermitRequest) {
	l.node.observeIncarnation(ask.Upstream)
	l.node.relay.HandlePermitRequest(from.GetName(), ask)
}

// ReceivePermitGrant implements usage.Listener.
func (l usageListener) ReceivePermitGrant(from *wire.Member, grant limit.Grant) {
	l.node.relay.HandlePermitGrant(from.GetName(), grant)
}

// ReceivePlacement implements usage.Listener.
func (l usageListener) ReceivePlacement(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
	l.node.observeIncarnation(upstream)
	l.node.applyPlacement(upstream, layers, holds)
}

// ReceiveUnresponsive implements usage.Listener.
func (l usageListener) ReceiveUnresponsive(from *wire.Member, upstream fleet.Incarnation) {
	l.node.observeIncarnation(upstream)
	if !l.node.unresponsive.isNew(l.node.clock.Now(), upstream) {
		return
	}
	l.node.log.Info("silent_told", zap.Stringer("upstream", upstream), zap.String("by", from.GetName()))
	l.node.relay.HandlePeerUnresponsive(upstream)
}

// observeIncarnation takes in that another node speaks of a run of an upstream, which may be a later one
// than the one that this node knows.
func (n *Node) observeIncarnation(upstream fleet.Incarnation) {
	if upstream.StartedAt() != 0 {
		n.fleetFollower.Supersede(upstream)
	}
}

// publishPlacement tells the own relay and other nodes of an order of this node's.
func (n *Node) publishPlacement(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
	n.applyPlacement(upstream, layers, holds)
	n.usage.SendPlacement(upstream, layers, holds)
}

// applyPlacement takes an order that this node or another one has given.
func (n *Node) applyPlacement(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
	n.relay.HandlePlacement(upstream, layers, holds)
	n.placer.Send(placement.PlacedMsg{Upstream: upstream, Layers: layers, Completed: holds})
}

func (n *Node) applyFleet(changes []fleet.Change) {
	n.relay.UpdateFleet(changes)
	n.placer.Send(placement.FleetMsg{Changes: changes})
}

package node

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
)

// applyConfig applies a proof of the configuration and returns the active configuration. Both
// the follower of the store and peers supply proofs; configMu gives all parts of the node the
// same order.
func (n *Node) applyConfig(p follow.Proof) follow.ActiveConfig {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	result, active := n.local.apply(p)
	if n.peers != nil {
		n.peers.Vouch()
	}
	age := zap.Int64("age_ms", int64(clock.AgeOf(p.Confirmed, n.clock.Now())))
	switch result {
	case follow.Outdated:
		if n.lastOutdated != p.Edition {
			n.lastOutdated = p.Edition
			n.log.Warn("config_outdated", zap.Stringer("version", p.Edition), zap.Stringer("in_force", active.Edition), age)
		}
	case follow.Renewed:
		n.relay.SetCatalog(nil, n.provenAt(active))
	case follow.Replaced:
		n.log.Info("config", zap.Stringer("version", p.Edition), zap.Stringer("written", p.Edition.Written()), age)
		p.Catalog.EachUnservable(func(service string, reason error) {
			n.log.Error("service_unservable", zap.Stringer("version", p.Edition), zap.String("service", service), logging.Err(reason))
		})
		n.relay.SetCatalog(p.Catalog, n.provenAt(active))
		n.placer.Send(placement.CatalogMsg{Catalog: p.Catalog})
		n.fleetFollower.SetCatalog(p.Catalog)
	}
	return active
}

// provenAt returns when the active configuration was proven to be the newest. As long as it has not been
// compared with those of other nodes, what the store shows proves nothing.
func (n *Node) provenAt(active follow.ActiveConfig) clock.Millis {
	if n.peers != nil && !n.peers.Compared() {
		return clock.Never
	}
	return active.Confirmed
}

// handleConfigCompared handles the end of the comparison of the first configuration.
func (n *Node) handleConfigCompared() {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	n.relay.SetCatalog(nil, n.provenAt(n.local.Config()))
	n.relay.HandleConfigCompared()
}

// queryNewerConfig queries a node that has a newer configuration because it has seen a store
// restore that this node has missed. One query runs at a time.
func (n *Node) queryNewerConfig(address string) {
	if n.queryingConfig.Swap(true) {
		return
	}
	go n.panics.Run("config_query", func() string { return address }, func() {
		defer n.queryingConfig.Store(false)
		n.peers.QueryAddress(n.ctx, address)
	})
}

// markLeaving records that an upstream has reported that it is leaving.
func (n *Node) markLeaving(upstream fleet.Incarnation) { n.fleetFollower.MarkLeaving(upstream) }

// markReplaced records that another upstream has answered at the address of an upstream.
func (n *Node) markReplaced(upstream fleet.Incarnation, address string) {
	n.fleetFollower.MarkReplaced(upstream, address)
}

// reportUnresponsive notifies the planner that an engine has stopped or resumed answering. It
// notifies other nodes too if none of them has reported the engine yet.
func (n *Node) reportUnresponsive(cmd dispatch.ResponsivenessCmd) {
	n.log.Info("silent", zap.Stringer("upstream", cmd.Upstream), zap.Bool("silent", cmd.Unresponsive), zap.Bool("agreed", cmd.Confirmed), zap.Bool("never_answered", cmd.NeverAnswered))
	n.placer.Send(placement.ResponsivenessMsg{Upstream: cmd.Upstream, Unresponsive: cmd.Unresponsive, Confirmed: cmd.Certain()})
	if cmd.Unresponsive && !cmd.Confirmed {
		n.usage.Unresponsive(cmd.Upstream)
	}
}

// sendUsage sends this node's usage to other nodes. The first hub also sends the total of all
// nodes to its leaves; other hubs send a heartbeat to theirs. The first hub, or the reader of a
// data centre without hubs, sends the total of its data centre to other data centres.
func (n *Node) sendUsage(cmd dispatch.ShareUsageCmd) {
	now := n.clock.Now()
	topology := n.roster.Topology(now)
	n.usage.SendUsage(cmd.Used, cmd.Accounts, cmd.Limits, cmd.Retries)
	if topology.FullMesh && n.roster.IsReader(now) || topology.IsFirstHub() {
		n.usage.SendDataCentreTotal(cmd.WholeDataCentre, cmd.DataCentreAccounts, topology.PeerCount+1, cmd.Limits)
	}
	switch {
	case topology.IsFirstHub():
		n.usage.SendAllNodes(cmd.AllNodes, cmd.AllAccounts, cmd.IncludedDataCentres, cmd.Nodes, cmd.Limits, cmd.LeafRetries)
	case topology.IsHub:
		n.usage.SendHeartbeat(cmd.Retries)
	}
}

// usageListener applies messages of other nodes. It implements usage.Listener.
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
		DataCentre: from.GetDataCentre(), Limits: msg.Limits, Accounts: msg.Accounts, Retries: msg.Retries,
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

// ReceiveResponsive implements usage.Listener.
func (l usageListener) ReceiveResponsive(from *wire.Member, upstream fleet.Incarnation) {
	l.node.observeIncarnation(upstream)
	if !l.node.responsive.isNew(l.node.clock.Now(), upstream) {
		return
	}
	l.node.log.Info("answers_others", zap.Stringer("upstream", upstream), zap.String("by", from.GetName()))
	l.node.relay.HandlePeerResponsive(upstream)
}

// observeIncarnation records the incarnation of an upstream in a message of another node, since
// it may be newer than the one in this node's list. A start time that can't be true ends no incarnation: no
// later one would ever replace it.
func (n *Node) observeIncarnation(upstream fleet.Incarnation) {
	if !upstream.StartedAt().Credible(n.clock.Wall()) {
		n.implausible.Add(1)
		n.log.Info("start_time_not_credible", zap.Stringer("upstream", upstream))
		return
	}
	if upstream.StartedAt() != 0 {
		n.fleetFollower.Supersede(upstream)
	}
}

// publishPlacement sends an order of this node to its relay and to other nodes.
func (n *Node) publishPlacement(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
	n.applyPlacement(upstream, layers, holds)
	n.usage.SendPlacement(upstream, layers, holds)
}

// applyPlacement applies an order that this node or another node has given. Layers that the model does not have,
// or that the engine has no memory for, are no order.
func (n *Node) applyPlacement(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool) {
	if !n.fleetFollower.AwaitLayers(upstream, fleet.ReportedLayers{Layers: layers, Completed: holds}) {
		return
	}
	n.relay.HandlePlacement(upstream, layers, holds)
	n.placer.Send(placement.PlacedMsg{Upstream: upstream, Layers: layers, Completed: holds})
}

func (n *Node) applyFleet(changes []fleet.Change) {
	n.relay.UpdateFleet(changes)
	n.keeper.StoreAnswered()
	n.placer.Send(placement.FleetMsg{Changes: changes})
}

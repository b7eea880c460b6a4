package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

// dataCentrePeers returns the other nodes of a node's data centre.
func (w *world) dataCentrePeers(n *node) []*wire.Member {
	var group []*wire.Member
	for _, o := range w.nodes {
		if o != n && o.dataCentre == n.dataCentre {
			group = append(group, &wire.Member{Name: o.name, DataCentre: o.dataCentre})
		}
	}
	return group
}

// updateTopology passes the choice of hubs to the models if it has changed, or always if force
// is set.
func (n *node) updateTopology(force bool) {
	w := n.world
	topology := n.roster.Topology(w.now)
	same := topology.FullMesh == n.topology.FullMesh && topology.HubIndex == n.topology.HubIndex && slices.Equal(topology.Hubs, n.topology.Hubs)
	if same && !force {
		return
	}
	n.topology = topology
	msg := dispatch.PeersMsg{TotalNodes: len(w.nodes), UsagePeers: w.usagePeers(n), Members: w.limitMembers(), ForwardTargets: w.forwardTargets(n)}
	rank := placement.RankMsg{Delay: planStagger * clock.Millis(n.rank)}
	if !topology.FullMesh {
		msg.Aggregated = !topology.IsHub
		if topology.IsHub {
			msg.LocalNodes = topology.PeerCount + 1
		}
		rank = placement.RankMsg{Delay: planStagger * clock.Millis(topology.HubIndex), Standby: !topology.IsHub, ExcludedDataCentres: w.otherDataCentres(n)}
	}
	n.update(msg)
	n.updatePlanner(rank)
}

// otherDataCentres returns the other data centres that have nodes.
func (w *world) otherDataCentres(n *node) []string {
	var dataCentres []string
	for _, o := range w.nodes {
		if o.dataCentre != n.dataCentre && !slices.Contains(dataCentres, o.dataCentre) {
			dataCentres = append(dataCentres, o.dataCentre)
		}
	}
	return dataCentres
}

// shareUsage sends the node's usage to others. In larger systems a node sends it only to its
// own data centre, or to the hubs of that, and one node sends the data centre's total to the
// others.
func (n *node) shareUsage(cmd dispatch.ShareUsageCmd) {
	w := n.world
	if w.variant.NoUsageSharing {
		return
	}
	sendUsage := func(o *node) {
		o.roster.UpdateStatus(w.now, n.name, true)
		o.update(dispatch.UsageMsg{Node: n.name, DataCentre: n.dataCentre, Used: cmd.Used, Accounts: cmd.Accounts, Limits: n.limitsOnClockOf(o, cmd.Limits), Retries: cmd.Retries})
	}
	if n.topology.FullMesh {
		for _, o := range w.nodes {
			if o != n && (len(w.nodes) < fullMeshBelow || o.dataCentre == n.dataCentre) {
				n.send(o, sendUsage)
			}
		}
	} else {
		n.sendEach(n.topology.Hubs, sendUsage)
	}
	if n.topology.FullMesh && len(w.nodes) >= fullMeshBelow && w.usageSender(n.dataCentre) == n || n.topology.IsFirstHub() {
		n.shareDataCentreTotal(cmd)
	}
	if n.topology.IsHub {
		n.sendEach(n.topology.Leaves, func(o *node) { n.shareSystemTotal(o, cmd) })
	}
}

// shareDataCentreTotal sends the total usage of this data centre to nodes of the others.
func (n *node) shareDataCentreTotal(cmd dispatch.ShareUsageCmd) {
	w := n.world
	sent := make(map[string]int)
	for _, o := range w.nodes {
		if o.dataCentre == n.dataCentre || sent[o.dataCentre] == reading.BroadcastFanout(w.scenario.Nodes.PerDataCentre) {
			continue
		}
		sent[o.dataCentre]++
		n.send(o, func(o *node) {
			o.update(dispatch.UsageMsg{
				Node: "all of " + n.dataCentre, Used: cmd.WholeDataCentre, Accounts: cmd.DataCentreAccounts, WholeDataCentre: true, DataCentre: n.dataCentre,
				Nodes: n.topology.PeerCount + 1, Limits: n.limitsOnClockOf(o, cmd.Limits),
			})
		})
	}
}

// shareSystemTotal sends a hub's heartbeat to a leaf. The first hub adds the usage of all
// nodes.
func (n *node) shareSystemTotal(o *node, cmd dispatch.ShareUsageCmd) {
	o.roster.UpdateStatus(n.world.now, n.name, true)
	if n.topology.IsFirstHub() {
		o.update(dispatch.UsageMsg{
			Node: n.name, DataCentre: n.dataCentre, Used: cmd.AllNodes, Accounts: cmd.AllAccounts, AllNodes: true, IncludedDataCentres: cmd.IncludedDataCentres,
			Nodes: cmd.Nodes, Limits: n.limitsOnClockOf(o, cmd.Limits), Retries: cmd.LeafRetries,
		})
		return
	}
	// The heartbeat of another hub carries its loans.
	if len(cmd.Retries.Grants) > 0 {
		o.update(dispatch.UsageMsg{Node: n.name, DataCentre: n.dataCentre, Retries: budget.Report{Grants: cmd.Retries.Grants}})
	}
}

// sendEach sends a datagram to each of the members.
func (n *node) sendEach(members []*wire.Member, deliver func(o *node)) {
	for _, m := range members {
		n.send(n.world.nodeByName[m.GetName()], deliver)
	}
}

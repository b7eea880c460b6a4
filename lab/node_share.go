package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

// dataCentrePeers are the other nodes of a node's data centre.
func (w *world) dataCentrePeers(n *node) []*wire.Member {
	var group []*wire.Member
	for _, o := range w.nodes {
		if o != n && o.dataCentre == n.dataCentre {
			group = append(group, &wire.Member{Name: o.name, DataCentre: o.dataCentre})
		}
	}
	return group
}

// updateTopology takes in who the hubs are, if that has changed, and at first.
func (n *node) updateTopology(first bool) {
	w := n.world
	circle := n.roster.Topology(w.now)
	same := circle.FullMesh == n.topology.FullMesh && circle.HubIndex == n.topology.HubIndex && slices.Equal(circle.Hubs, n.topology.Hubs)
	if same && !first {
		return
	}
	n.topology = circle
	msg := dispatch.PeersMsg{TotalNodes: len(w.nodes), UsagePeers: w.usagePeers(n), Members: w.limitMembers()}
	rank := placement.RankMsg{Delay: planStagger * clock.Millis(n.rank)}
	if !circle.FullMesh {
		msg.Aggregated = !circle.IsHub
		if circle.IsHub {
			msg.LocalNodes = circle.PeerCount + 1
		}
		rank = placement.RankMsg{Delay: planStagger * clock.Millis(circle.HubIndex), Standby: !circle.IsHub, ExcludedDataCentres: w.otherDataCentres(n)}
	}
	n.update(msg)
	n.updatePlanner(rank)
}

// otherDataCentres are the data centres in which other nodes stand.
func (w *world) otherDataCentres(n *node) []string {
	var centres []string
	for _, o := range w.nodes {
		if o.dataCentre != n.dataCentre && !slices.Contains(centres, o.dataCentre) {
			centres = append(centres, o.dataCentre)
		}
	}
	return centres
}

// shareUsage tells others what the node has in use. In larger systems each tells its own data
// centre, or the hubs there, and one of them others what it has in all.
func (n *node) shareUsage(cmd dispatch.ShareUsageCmd) {
	w := n.world
	if w.variant.NoUsageSharing {
		return
	}
	used := func(o *node) {
		o.roster.UpdateStatus(w.now, n.name, true)
		o.update(dispatch.UsageMsg{Node: n.name, DataCentre: n.dataCentre, Used: cmd.Used, Limits: n.limitsOnClockOf(o, cmd.Limits)})
	}
	if n.topology.FullMesh {
		for _, o := range w.nodes {
			if o != n && (len(w.nodes) < fullMeshBelow || o.dataCentre == n.dataCentre) {
				n.send(o, used)
			}
		}
	} else {
		n.sendEach(n.topology.Hubs, used)
	}
	if n.topology.FullMesh && len(w.nodes) >= fullMeshBelow && w.usageSender(n.dataCentre) == n || n.topology.IsFirstHub() {
		n.shareDataCentreTotal(cmd)
	}
	if n.topology.IsHub {
		n.sendEach(n.topology.Leaves, func(o *node) { n.shareSystemTotal(o, cmd) })
	}
}

// shareDataCentreTotal tells other data centres what the nodes of this one's have in use.
func (n *node) shareDataCentreTotal(cmd dispatch.ShareUsageCmd) {
	w := n.world
	told := make(map[string]int)
	for _, o := range w.nodes {
		if o.dataCentre == n.dataCentre || told[o.dataCentre] == reading.BroadcastFanout(w.scenario.Nodes.PerDataCentre) {
			continue
		}
		told[o.dataCentre]++
		n.send(o, func(o *node) {
			o.update(dispatch.UsageMsg{
				Node: "all of " + n.dataCentre, Used: cmd.WholeDataCentre, WholeDataCentre: true, DataCentre: n.dataCentre,
				Nodes: n.topology.PeerCount + 1, Limits: n.limitsOnClockOf(o, cmd.Limits),
			})
		})
	}
}

// shareSystemTotal tells a leaf that a hub is there and, if it is the first, what all have in use.
func (n *node) shareSystemTotal(o *node, cmd dispatch.ShareUsageCmd) {
	o.roster.UpdateStatus(n.world.now, n.name, true)
	if n.topology.IsFirstHub() {
		o.update(dispatch.UsageMsg{
			Node: n.name, DataCentre: n.dataCentre, Used: cmd.AllNodes, AllNodes: true, IncludedDataCentres: cmd.IncludedDataCentres,
			Nodes: cmd.Nodes, Limits: n.limitsOnClockOf(o, cmd.Limits),
		})
	}
}

// sendEach tells nodes something by a datagram each.
func (n *node) sendEach(members []*wire.Member, tell func(o *node)) {
	for _, m := range members {
		n.send(n.world.nodeByName[m.GetName()], tell)
	}
}

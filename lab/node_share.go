package lab

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

// group are the other nodes of a node's data centre.
func (w *world) group(n *node) []*wire.Member {
	var group []*wire.Member
	for _, o := range w.nodes {
		if o != n && o.centre == n.centre {
			group = append(group, &wire.Member{Name: o.name, DataCentre: o.centre})
		}
	}
	return group
}

// lookAround takes in who the hubs are, if that has changed, and at first.
func (n *node) lookAround(first bool) {
	w := n.world
	circle := n.roster.Topology(w.now)
	same := circle.FullMesh == n.circle.FullMesh && circle.HubIndex == n.circle.HubIndex && slices.Equal(circle.Hubs, n.circle.Hubs)
	if same && !first {
		return
	}
	n.circle = circle
	msg := dispatch.PeersMsg{TotalNodes: len(w.nodes), UsagePeers: w.near(n), Members: w.members()}
	rank := placement.RankMsg{Delay: planSlot * clock.Millis(n.rank)}
	if !circle.FullMesh {
		msg.Aggregated = !circle.IsHub
		if circle.IsHub {
			msg.LocalNodes = circle.PeerCount + 1
		}
		rank = placement.RankMsg{Delay: planSlot * clock.Millis(circle.HubIndex), Standby: !circle.IsHub, ExcludedDataCentres: w.elsewhere(n)}
	}
	n.tell(msg)
	n.plan(rank)
}

// elsewhere are the data centres in which other nodes stand.
func (w *world) elsewhere(n *node) []string {
	var centres []string
	for _, o := range w.nodes {
		if o.centre != n.centre && !slices.Contains(centres, o.centre) {
			centres = append(centres, o.centre)
		}
	}
	return centres
}

// share tells others what the node has in use. In larger systems each tells its own data
// centre, or the hubs there, and one of them others what it has in all.
func (n *node) share(cmd dispatch.ShareUsageCmd) {
	w := n.world
	if w.variant.NoUsage {
		return
	}
	used := func(o *node) {
		o.roster.Heard(w.now, n.name, true)
		o.tell(dispatch.UsageMsg{Node: n.name, DataCentre: n.centre, Used: cmd.Used, Limits: n.limitsFor(o, cmd.Limits)})
	}
	if n.circle.FullMesh {
		for _, o := range w.nodes {
			if o != n && (len(w.nodes) < nearAll || o.centre == n.centre) {
				n.to(o, used)
			}
		}
	} else {
		n.tellEach(n.circle.Hubs, used)
	}
	if n.circle.FullMesh && len(w.nodes) >= nearAll && w.reader(n.centre) == n || n.circle.IsFirstHub() {
		n.shareTotal(cmd)
	}
	if n.circle.IsHub {
		n.tellEach(n.circle.Leaves, func(o *node) { n.shareWhole(o, cmd) })
	}
}

// shareTotal tells other data centres what the nodes of this one's have in use.
func (n *node) shareTotal(cmd dispatch.ShareUsageCmd) {
	w := n.world
	told := make(map[string]int)
	for _, o := range w.nodes {
		if o.centre == n.centre || told[o.centre] == reading.BroadcastFanout(w.scenario.Nodes.EachCentre) {
			continue
		}
		told[o.centre]++
		n.to(o, func(o *node) {
			o.tell(dispatch.UsageMsg{
				Node: "all of " + n.centre, Used: cmd.WholeDataCentre, WholeDataCentre: true, DataCentre: n.centre,
				Nodes: n.circle.PeerCount + 1, Limits: n.limitsFor(o, cmd.Limits),
			})
		})
	}
}

// shareWhole tells a leaf that a hub is there and, if it is the first, what all have in use.
func (n *node) shareWhole(o *node, cmd dispatch.ShareUsageCmd) {
	o.roster.Heard(n.world.now, n.name, true)
	if n.circle.IsFirstHub() {
		o.tell(dispatch.UsageMsg{
			Node: n.name, DataCentre: n.centre, Used: cmd.AllNodes, AllNodes: true, IncludedDataCentres: cmd.IncludedDataCentres,
			Nodes: cmd.Nodes, Limits: n.limitsFor(o, cmd.Limits),
		})
	}
}

// tellEach tells nodes something by a datagram each.
func (n *node) tellEach(members []*wire.Member, tell func(o *node)) {
	for _, m := range members {
		n.to(n.world.byName[m.GetName()], tell)
	}
}

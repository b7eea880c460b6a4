package node

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/forwarding"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// topologyInterval is how often the topology is checked, and the minimum pause between two
	// changes of this node's recipients: if all nodes start together, they discover each other
	// one by one.
	topologyInterval = 150 * time.Millisecond
	// forwardingHubs is the number of hubs that forward broadcasts. Two are used since one of
	// them may crash.
	forwardingHubs = 2
)

// followTopology sets the recipients of this node's messages whenever the known nodes or the
// hubs change, until the context ends.
func (n *Node) followTopology(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.members.ready:
	}
	lastKey, lastChanges := "", 0
	for ctx.Err() == nil {
		topology := n.roster.Topology(n.clock.Now())
		others, rank, changes, complete := n.members.get()
		key := topologyKey(&topology)
		if key != lastKey {
			n.log.Info("circle", zap.Bool("meshed", topology.FullMesh), zap.Bool("hub", topology.IsHub), zap.Int("place", topology.HubIndex),
				zap.String("hubs", joinNames(topology.Hubs)), zap.Int("others", topology.PeerCount))
		}
		if changes > lastChanges || key != lastKey {
			lastKey, lastChanges = key, changes
			n.applyTopology(&topology, others, rank, complete)
		}
		n.clock.SleepToMultiple(ctx, topologyInterval)
	}
	return ctx.Err()
}

// topologyKey returns a string that differs between different topologies.
func topologyKey(c *reading.Topology) string {
	if c.FullMesh {
		return "meshed"
	}
	return strconv.Itoa(c.HubIndex) + " " + joinNames(c.Hubs) + " " + joinNames(c.MissingHubs)
}

func joinNames(members []*wire.Member) string {
	var names []string
	for _, m := range members {
		names = append(names, m.GetName())
	}
	return strings.Join(names, ",")
}

// applyTopology sets the recipients of this node's usage messages, the peers of the relay and
// the rank of the planner.
func (n *Node) applyTopology(topology *reading.Topology, others []*wire.Member, rank int, complete bool) {
	here := n.settings.DataCentre
	msg := peersMsg(topology, append(others[:len(others):len(others)], n.roster.Self()))
	msg.Incomplete = !complete
	msg.ForwardTargets = forwardTargets(others)
	n.usage.SetAddresses(usageAddressesByName(others))
	if topology.FullMesh {
		near, far := meshRecipients(others, here)
		msg.UsagePeers = len(near)
		n.usage.SetPeers(usageAddresses(near), usageAddresses(far))
		n.relay.SetPeers(msg)
		n.placer.Send(placement.RankMsg{Delay: plannerDelay(rank, n.settings.Name)})
		return
	}
	n.usage.SetRecipients(hubRecipients(topology, others, here))
	n.relay.SetPeers(msg)
	n.placer.Send(placement.RankMsg{Delay: plannerDelay(topology.HubIndex, n.settings.Name), Standby: !topology.IsHub, ExcludedDataCentres: otherDataCentres(others, here)})
}

// peersMsg returns the known nodes for the relay. If a data centre is so large that some of its
// nodes are unknown, the message has a count in place of their names.
func peersMsg(topology *reading.Topology, all []*wire.Member) dispatch.PeersMsg {
	targets := broadcastTargets(all)
	msg := dispatch.PeersMsg{UsagePeers: topology.PeerCount, Members: limitOwnerCandidates(targets)}
	switch {
	case !topology.FullMesh && !topology.IsHub:
		msg.Aggregated = true
	case len(targets) < len(withDataCentre(all)):
		msg.LocalNodes = topology.PeerCount + 1
	default:
		msg.TotalNodes = len(msg.Members)
	}
	return msg
}

// forwardTargets returns the nodes that may serve requests of this one.
func forwardTargets(others []*wire.Member) []forwarding.Node {
	var list []forwarding.Node
	for _, m := range others {
		if m.GetName() != "" && m.GetAddress() != "" {
			list = append(list, forwarding.Node{Name: m.GetName(), DataCentre: m.GetDataCentre(), Address: m.GetAddress()})
		}
	}
	return list
}

// withDataCentre returns the nodes whose data centre is known.
func withDataCentre(members []*wire.Member) []*wire.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *wire.Member) bool { return m.GetDataCentre() == "" })
}

// limitOwnerCandidates returns the nodes that may own the limits of upstreams.
func limitOwnerCandidates(members []*wire.Member) []limit.Member {
	var list []limit.Member
	for _, m := range members {
		if m.GetUsageAddress() != "" {
			list = append(list, limit.Member{Name: m.GetName(), DataCentre: m.GetDataCentre()})
		}
	}
	return list
}

// meshRecipients returns the nodes that receive this node's usage, and those that receive the
// total of its data centre.
func meshRecipients(others []*wire.Member, here string) (near, far []*wire.Member) {
	if len(others) < maxMeshUsageNodes {
		return others, nil
	}
	return membersIn(others, here), remoteBroadcastTargets(others, here)
}

// hubRecipients returns the recipients for a node in a data centre with hubs.
func hubRecipients(topology *reading.Topology, others []*wire.Member, here string) usage.Recipients {
	hubs, leaves, far := usageAddresses(topology.Hubs), usageAddresses(topology.Leaves), usageAddresses(remoteBroadcastTargets(others, here))
	absent := usageAddresses(topology.MissingHubs)
	if !topology.IsHub {
		return usage.Recipients{Usage: hubs, MissingHubs: absent, Placements: hubs, Unresponsive: hubs, Outcomes: slices.Concat(hubs, far)}
	}
	near := slices.Concat(hubs, leaves)
	r := usage.Recipients{Usage: hubs, MissingHubs: absent, Hubs: topology.Hubs, DataCentreTotal: far, Leaves: leaves, Placements: near, Unresponsive: near, Outcomes: slices.Concat(near, far)}
	if topology.HubIndex < forwardingHubs {
		r.Forward = near
	}
	return r
}

// remoteBroadcastTargets returns the nodes of other data centres that receive broadcasts
// directly.
func remoteBroadcastTargets(others []*wire.Member, here string) []*wire.Member {
	return broadcastTargets(slices.DeleteFunc(slices.Clone(others), func(m *wire.Member) bool { return m.GetDataCentre() == here }))
}

// broadcastTargets returns the nodes that receive broadcasts directly. In a large data centre
// these are the first nodes by rank, which are its hubs unless hubs have crashed.
func broadcastTargets(members []*wire.Member) []*wire.Member {
	var targets []*wire.Member
	for _, centre := range otherDataCentres(members, "") {
		ranked := slices.SortedFunc(slices.Values(membersIn(members, centre)), reading.CompareRank)
		targets = append(targets, ranked[:reading.BroadcastFanout(len(ranked))]...)
	}
	return targets
}

// otherDataCentres returns the data centres of other nodes.
func otherDataCentres(others []*wire.Member, here string) []string {
	var centres []string
	for _, m := range others {
		if centre := m.GetDataCentre(); centre != here && centre != "" && !slices.Contains(centres, centre) {
			centres = append(centres, centre)
		}
	}
	return centres
}

func usageAddresses(members []*wire.Member) []string {
	var list []string
	for _, m := range members {
		if m.GetUsageAddress() != "" {
			list = append(list, m.GetUsageAddress())
		}
	}
	return list
}

func usageAddressesByName(members []*wire.Member) map[string]string {
	list := make(map[string]string, len(members))
	for _, m := range members {
		if m.GetUsageAddress() != "" {
			list[m.GetName()] = m.GetUsageAddress()
		}
	}
	return list
}

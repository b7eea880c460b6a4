package node

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/placement"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/usage"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// topologyInterval is how often it is looked whether the hubs have changed, and the least
	// pause between two changes of whom this node tells: where all nodes start together
	// others become known one by one.
	topologyInterval = 150 * time.Millisecond
	// forwardingHubs is how many hubs pass on what a node tells all: each may be lost meanwhile.
	forwardingHubs = 2
)

// followTopology has this node tell those whom it is to tell, as nodes become known and hubs
// change, until the context ends.
func (n *Node) followTopology(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.members.ready:
	}
	last, seen := "", 0
	for ctx.Err() == nil {
		circle := n.roster.Topology(n.clock.Now())
		others, rank, changes := n.members.get()
		name := topologyKey(&circle)
		if name != last {
			n.log.Info("circle", zap.Bool("meshed", circle.FullMesh), zap.Bool("hub", circle.IsHub), zap.Int("place", circle.HubIndex),
				zap.String("hubs", joinNames(circle.Hubs)), zap.Int("others", circle.PeerCount))
		}
		if changes > seen || name != last {
			last, seen = name, changes
			n.applyTopology(&circle, others, rank)
		}
		clock.Sleep(ctx, topologyInterval)
	}
	return ctx.Err()
}

// topologyKey tells circles apart.
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

// applyTopology takes whom this node tells, and what others leave to it.
func (n *Node) applyTopology(circle *reading.Topology, others []*wire.Member, rank int) {
	here := n.settings.DataCentre
	msg := peersMsg(circle, append(others[:len(others):len(others)], n.roster.Self()))
	n.usage.SetAddresses(usageAddressesByName(others))
	if circle.FullMesh {
		near, far := meshRecipients(others, here)
		msg.UsagePeers = len(near)
		n.usage.SetPeers(usageAddresses(near), usageAddresses(far))
		n.relay.SetPeers(msg)
		n.placer.Send(placement.RankMsg{Delay: plannerDelay(rank)})
		return
	}
	n.usage.SetRecipients(hubRecipients(circle, others, here))
	n.relay.SetPeers(msg)
	n.placer.Send(placement.RankMsg{Delay: plannerDelay(circle.HubIndex), Standby: !circle.IsHub, ExcludedDataCentres: otherDataCentres(others, here)})
}

// peersMsg tells the relay of all nodes that are known. Where others stand in a large data
// centre not all of its nodes are, and their number is told.
func peersMsg(circle *reading.Topology, all []*wire.Member) dispatch.PeersMsg {
	told := broadcastTargets(all)
	msg := dispatch.PeersMsg{UsagePeers: circle.PeerCount, Members: limitOwnerCandidates(told)}
	switch {
	case !circle.FullMesh && !circle.IsHub:
		msg.Aggregated = true
	case len(told) < len(withDataCentre(all)):
		msg.LocalNodes = circle.PeerCount + 1
	default:
		msg.TotalNodes = len(msg.Members)
	}
	return msg
}

// withDataCentre are the nodes whose data centre is known.
func withDataCentre(members []*wire.Member) []*wire.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *wire.Member) bool { return m.GetDataCentre() == "" })
}

// limitOwnerCandidates are the nodes of which some own the limits of upstreams.
func limitOwnerCandidates(members []*wire.Member) []limit.Member {
	var list []limit.Member
	for _, m := range members {
		if m.GetUsageAddress() != "" {
			list = append(list, limit.Member{Name: m.GetName(), DataCentre: m.GetDataCentre()})
		}
	}
	return list
}

// meshRecipients returns the nodes that are told what this one has in use, and those that are
// told what its data centre has.
func meshRecipients(others []*wire.Member, here string) (near, far []*wire.Member) {
	if len(others) < maxMeshUsageNodes {
		return others, nil
	}
	return membersIn(others, here), remoteBroadcastTargets(others, here)
}

// hubRecipients are the routes of a node of a data centre with hubs.
func hubRecipients(circle *reading.Topology, others []*wire.Member, here string) usage.Recipients {
	hubs, leaves, far := usageAddresses(circle.Hubs), usageAddresses(circle.Leaves), usageAddresses(remoteBroadcastTargets(others, here))
	absent := usageAddresses(circle.MissingHubs)
	if !circle.IsHub {
		return usage.Recipients{Usage: hubs, MissingHubs: absent, Placements: hubs, Unresponsive: hubs, Outcomes: slices.Concat(hubs, far)}
	}
	near := slices.Concat(hubs, leaves)
	r := usage.Recipients{Usage: hubs, MissingHubs: absent, Hubs: circle.Hubs, DataCentreTotal: far, Leaves: leaves, Placements: near, Unresponsive: near, Outcomes: slices.Concat(near, far)}
	if circle.HubIndex < forwardingHubs {
		r.Forward = near
	}
	return r
}

// remoteBroadcastTargets returns the nodes of other data centres that are told what concerns all.
func remoteBroadcastTargets(others []*wire.Member, here string) []*wire.Member {
	return broadcastTargets(slices.DeleteFunc(slices.Clone(others), func(m *wire.Member) bool { return m.GetDataCentre() == here }))
}

// broadcastTargets returns the nodes among some that are told what concerns all: of a large data centre
// the first by rank, which are its hubs unless they are lost.
func broadcastTargets(members []*wire.Member) []*wire.Member {
	var told []*wire.Member
	for _, centre := range otherDataCentres(members, "") {
		ranked := slices.SortedFunc(slices.Values(membersIn(members, centre)), reading.CompareRank)
		told = append(told, ranked[:reading.BroadcastFanout(len(ranked))]...)
	}
	return told
}

// otherDataCentres are the data centres in which other nodes stand.
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

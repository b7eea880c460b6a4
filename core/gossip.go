package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/wire"
)

// sendHeartbeats sends this node's view of the cluster to a few random peers, and to a seed address
// while no other node is live.
func (m *Model) sendHeartbeats() {
	m.node.Beat++
	for _, p := range m.members.GossipTargets(m.rng) {
		m.sendHeartbeat(p.Record().GetAddress())
	}
	if len(m.seedPeers) > 0 && m.members.LiveNodes(m.now) == 1 {
		m.sendHeartbeat(m.seedPeers[m.rng.IntN(len(m.seedPeers))])
	}
}

func (m *Model) sendHeartbeat(address string) {
	if address == "" || address == m.node.GetAddress() {
		return
	}
	m.addCmd(&HeartbeatCmd{Address: address, Beat: &wire.HeartbeatRequest{
		From:    m.Self(),
		Heard:   m.members.Digest(m.rng),
		Leaving: m.members.Marks(),
	}})
}

// heartbeatReceived merges a peer's view of the cluster. If the peer has a newer configuration
// version, the records are fetched from the peer, so that a node without access to the store stays
// up to date.
func (m *Model) heartbeatReceived(msg HeartbeatMsg) {
	m.updateNodes(NodesMsg{Nodes: append([]*wire.NodeRecord{msg.From}, msg.Heard...)})
	m.applyMarks(msg.Leaving)
	if msg.From.GetVersion() > m.tracker.Version() {
		m.fetchChanges(msg.From.GetAddress())
	}
}

func (m *Model) updateNodes(msg NodesMsg) {
	for _, n := range msg.Nodes {
		m.members.Update(m.now, n)
	}
	m.answerProposals()
}

// Self returns a copy of the node's own record.
func (m *Model) Self() *wire.NodeRecord {
	return &wire.NodeRecord{
		Name:        m.node.GetName(),
		Incarnation: m.node.GetIncarnation(),
		DataCentre:  m.node.GetDataCentre(),
		Address:     m.node.GetAddress(),
		Version:     m.node.GetVersion(),
		Draining:    m.node.GetDraining(),
		Beat:        m.node.GetBeat(),
		StartedMs:   m.node.GetStartedMs(),
		Inherits:    slices.Clone(m.node.GetInherits()),
	}
}

// HeartbeatReply returns the reply to a peer's heartbeat. It is called outside Update and must not
// use the model's random source, because a replay does not repeat the call.
func (m *Model) HeartbeatReply() *wire.HeartbeatReply {
	return &wire.HeartbeatReply{From: m.Self(), Heard: m.members.Digest(m.replyRNG), Leaving: m.members.Marks()}
}

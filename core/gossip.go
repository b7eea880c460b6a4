package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/wire"
)

// sendHeartbeats tells a few peers what this node knows.
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

// heartbeatReceived takes in what a peer knows. A peer with a newer version is asked
// for the records, so that a node that cannot reach the store follows too.
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

// HeartbeatReply returns what a peer that told this node something is told in
// return. It is asked for outside Update, so it must not draw from the model's
// random numbers: a replay would not draw with it.
func (m *Model) HeartbeatReply() *wire.HeartbeatReply {
	return &wire.HeartbeatReply{From: m.Self(), Heard: m.members.Digest(m.replyRNG), Leaving: m.members.Marks()}
}

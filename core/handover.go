package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/once"
)

// HandoverCmd gives this node's keys to a peer.
type HandoverCmd struct {
	Address string          `json:"address"`
	To      uint64          `json:"to"`
	Ledgers []once.Snapshot `json:"ledgers"`
}

// HandedOverMsg says whether the peer has answered.
type HandedOverMsg struct {
	Done bool `json:"done"`
}

// HandoverMsg brings the keys of a peer that stops. It is meant for one
// incarnation: the next one at the same address must not take the keys, for
// the one before it may have begun some of them.
type HandoverMsg struct {
	To      uint64          `json:"to"`
	Ledgers []once.Snapshot `json:"ledgers"`
}

// maxInherited bounds the incarnations whose keys a node holds beside its
// own. Those that were handed over first are let go: their keys may not begin
// any more, and their callers are told that it is not known.
const maxInherited = 32

// handOver sends the keys, again and again to the same peer until it answers.
func (m *Model) handOver() {
	if m.drain.handoverInFlight {
		return
	}
	m.drain.handoverInFlight = true
	cmd := &HandoverCmd{Address: m.drain.successor.GetAddress(), To: m.drain.successor.GetIncarnation(), Ledgers: []once.Snapshot{m.ledger.Snapshot()}}
	for _, incarnation := range m.node.GetInherits() {
		cmd.Ledgers = append(cmd.Ledgers, m.ledgers[incarnation].Snapshot())
	}
	m.addCmd(cmd)
}

func (m *Model) handoverDone(msg HandedOverMsg) {
	m.drain.handoverInFlight = false
	if msg.Done && m.drain.sealed && !m.drain.exited {
		m.exit()
	}
}

// inherit takes over the keys of a peer that stops. A handover that comes
// twice is taken once: what has begun here since must not be forgotten.
func (m *Model) inherit(msg HandoverMsg) {
	if msg.To != m.node.GetIncarnation() || m.drain.sealed {
		return
	}
	for _, s := range msg.Ledgers {
		if m.ledgers[s.Incarnation] != nil {
			continue
		}
		m.ledgers[s.Incarnation] = once.Restore(s)
		m.node.Inherits = append(m.node.GetInherits(), s.Incarnation)
		m.stats.Inherited++
	}
	for len(m.node.GetInherits()) > maxInherited {
		m.ledgers[m.node.GetInherits()[0]].EvictAll()
		m.node.Inherits = slices.Clone(m.node.GetInherits()[1:])
	}
	m.sendHeartbeats()
}

// HoldsLedgers reports whether the keys of a handover are held here.
func (m *Model) HoldsLedgers(msg HandoverMsg) bool {
	if msg.To != m.node.GetIncarnation() {
		return false
	}
	for _, s := range msg.Ledgers {
		if m.ledgers[s.Incarnation] == nil {
			return false
		}
	}
	return true
}

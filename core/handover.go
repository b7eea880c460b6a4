package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/once"
)

// HandoverCmd sends this node's ledgers to a peer.
type HandoverCmd struct {
	Address string          `json:"address"`
	To      uint64          `json:"to"`
	Ledgers []once.Snapshot `json:"ledgers"`
}

// HandedOverMsg reports whether the peer has accepted the ledgers.
type HandedOverMsg struct {
	Done bool `json:"done"`
}

// HandoverMsg carries the ledgers of a stopping peer. It is addressed to one incarnation: a later
// incarnation at the same address must not accept the ledgers, because the earlier one may have
// begun some of the keys.
type HandoverMsg struct {
	To      uint64          `json:"to"`
	Ledgers []once.Snapshot `json:"ledgers"`
}

// maxInherited bounds the inherited ledgers that a node holds in addition to its own. Beyond it the
// oldest inherited ledger is dropped: its keys may no longer begin, and clients that retry them get
// the outcome Unknown.
const maxInherited = 32

// handOver sends the ledgers to the successor, and is repeated until the successor answers.
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

// inherit adopts the ledgers of a stopping peer. A ledger that is received twice is adopted once,
// because the second copy does not contain the keys that have begun at this node since.
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

// HoldsLedgers reports whether this node holds all ledgers of a handover.
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

package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// drainState is the progress of a planned stop.
type drainState struct {
	started bool
	closeAt clock.Millis
	// sealed is set before the ledgers are handed over to another node. From then on no key may
	// begin at this node.
	sealed bool
	// successor is the node that receives the ledgers, or nil if there is none. handoverDeadline is
	// when the attempts to hand over end.
	successor        *wire.NodeRecord
	handoverDeadline clock.Millis
	handoverInFlight bool
	exited           bool
}

// handoverTimeout is how long a draining node tries to hand over its ledgers.
const handoverTimeout clock.Millis = 3000

// refusesNew reports whether the node refuses new requests.
func (d *drainState) refusesNew(now clock.Millis) bool { return d.started && now >= d.closeAt }

// startDrain begins a planned stop. The node stops being ready, but accepts requests until the load
// balancer has had the grace period to notice. It then waits for the requests in progress, hands
// over its ledgers and exits. Further calls have no effect.
func (m *Model) startDrain() {
	if m.drain.started {
		return
	}
	m.drain.started = true
	m.drain.closeAt = m.now.Add(m.drainGrace)
	m.node.Draining = true
	m.sendHeartbeats()
	m.addCmd(&RegisterCmd{Node: m.Self()})
}

func (m *Model) tickDrain() {
	d := &m.drain
	if !d.refusesNew(m.now) || len(m.requests) > 0 || d.exited {
		return
	}
	if !d.sealed {
		m.seal()
	}
	if d.successor != nil && m.now < d.handoverDeadline {
		m.handOver()
		return
	}
	m.exit()
}

// seal ends this node's right to begin any key, and chooses the node that receives the ledgers. The
// choice is final: a node whose answer was lost may have received them.
func (m *Model) seal() {
	m.drain.sealed = true
	m.drain.handoverDeadline = m.now.Add(handoverTimeout)
	if p := m.members.Successor(m.now, m.rng); p != nil {
		m.drain.successor = p.Record()
	}
}

func (m *Model) exit() {
	m.drain.exited = true
	m.addCmd(&ExitCmd{})
}

// Ready reports whether the load balancer should send requests to this node.
func (m *Model) Ready() bool { return m.tracker.Version() > 0 && !m.drain.started }

// InProgress returns the number of requests without a result.
func (m *Model) InProgress() int { return len(m.requests) }

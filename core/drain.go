package core

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// drainState is how far a planned stop has come.
type drainState struct {
	started bool
	closeAt clock.Millis
	// sealed is set once the keys are on their way to another node: nothing
	// of them may begin here any more.
	sealed bool
	// successor is the node that gets the keys, and until is how long it is asked.
	successor        *wire.NodeRecord
	handoverDeadline clock.Millis
	handoverInFlight bool
	exited           bool
}

// handoverTimeout is how long a node that stops tries to hand its keys over.
const handoverTimeout clock.Millis = 3000

// refusesNew reports whether the node takes no more new requests.
func (d *drainState) refusesNew(now clock.Millis) bool { return d.started && now >= d.closeAt }

// startDrain begins a planned stop. The node is no longer ready, but serves
// what still comes until the balancer has had its time; then it waits for what
// is in progress, hands its keys over, and leaves. Asking again changes
// nothing.
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

// seal gives up the right to begin any key, and chooses who gets it. The
// choice is made once: a node whose answer was lost may have the keys.
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

// Ready reports whether the balancer should send requests here.
func (m *Model) Ready() bool { return m.tracker.Version() > 0 && !m.drain.started }

// InProgress returns how many requests have no final word yet.
func (m *Model) InProgress() int { return len(m.requests) }

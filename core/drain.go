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
	// to is the node that gets the keys, and until is how long it is asked.
	to    *wire.NodeRecord
	until clock.Millis
	out   bool
	done  bool
}

// handoverPatience is how long a node that stops tries to hand its keys over.
const handoverPatience clock.Millis = 3000

// closed reports whether the node takes no more new requests.
func (d *drainState) closed(now clock.Millis) bool { return d.started && now >= d.closeAt }

// startDrain begins a planned stop. The node is no longer ready, but serves
// what still comes until the balancer has had its time; then it waits for what
// is in progress, hands its keys over, and leaves. Asking again changes
// nothing.
func (m *Model) startDrain() {
	if m.drain.started {
		return
	}
	m.drain.started = true
	m.drain.closeAt = m.now.Add(m.grace)
	m.node.Draining = true
	m.beat()
	m.do(&RegisterCmd{Node: m.Self()})
}

func (m *Model) tickDrain() {
	d := &m.drain
	if !d.closed(m.now) || len(m.requests) > 0 || d.done {
		return
	}
	if !d.sealed {
		m.seal()
	}
	if d.to != nil && m.now < d.until {
		m.handOver()
		return
	}
	m.exit()
}

// seal gives up the right to begin any key, and chooses who gets it. The
// choice is made once: a node whose answer was lost may have the keys.
func (m *Model) seal() {
	m.drain.sealed = true
	m.drain.until = m.now.Add(handoverPatience)
	if p := m.members.Successor(m.now, m.rng); p != nil {
		m.drain.to = p.Record()
	}
}

func (m *Model) exit() {
	m.drain.done = true
	m.do(&ExitCmd{})
}

// Ready reports whether the balancer should send requests here.
func (m *Model) Ready() bool { return m.tracker.Version() > 0 && !m.drain.started }

// InProgress returns how many requests have no final word yet.
func (m *Model) InProgress() int { return len(m.requests) }

package core

import "github.com/hoistjunction/hoistjunction/clock"

// drainState is how far a planned stop has come.
type drainState struct {
	started bool
	closeAt clock.Millis
	exited  bool
}

// closed reports whether the node takes no more new requests.
func (d *drainState) closed(now clock.Millis) bool { return d.started && now >= d.closeAt }

// startDrain begins a planned stop. The node is no longer ready, but serves
// what still comes until the balancer has had its time; then it waits for what
// is in progress, and leaves. Asking again changes nothing.
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
	if !m.drain.closed(m.now) || len(m.requests) > 0 || m.drain.exited {
		return
	}
	m.drain.exited = true
	m.do(&ExitCmd{})
}

// Ready reports whether the balancer should send requests here.
func (m *Model) Ready() bool { return m.tracker.Version() > 0 && !m.drain.started }

// InProgress returns how many requests have no final word yet.
func (m *Model) InProgress() int { return len(m.requests) }

package node

import (
	"net"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// HandleQuarantineEvent handles an event as if the relay had decided it.
func (n *Node) HandleQuarantineEvent(news quarantine.Event) { n.handleQuarantineEvent(news) }

// PauseQuarantineQueries keeps the node from asking others for quarantined requests for a time.
func (n *Node) PauseQuarantineQueries(d clock.Millis) {
	n.quarantined.mu.Lock()
	defer n.quarantined.mu.Unlock()
	n.quarantined.lastQuery = n.clock.Now().Add(d)
}

// HasCertainVerdict reports whether a request or a part is in quarantine and confirmed.
func (n *Node) HasCertainVerdict(id work.ID) bool { return n.quarantined.isConfirmed(id) }

// WrapCallerListener replaces the listener for clients. It is called before Run.
func (n *Node) WrapCallerListener(wrap func(net.Listener) net.Listener) {
	n.callers.SetListener(wrap(n.callers.Listener()))
}

// AcceptAllConnections makes a node read whatever connects, also while it runs late. It is called before
// Run.
func (n *Node) AcceptAllConnections() { n.callers.SetListener(n.callerListener) }

// Drained is closed when a planned stop has ended.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Panic runs a duty of the node that panics.
func (n *Node) Panic() { n.guard("test", func() { panic("a value of others") }) }

// ErrFailed is the error of a node that has ended after a panic.
var ErrFailed = errFailed

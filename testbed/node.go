package testbed

import (
	"context"

	"github.com/hoistjunction/hoistjunction/entry"
)

// Node is an entry node of the testbed.
type Node struct {
	*entry.Node
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func startNode(inner *entry.Node) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{Node: inner, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		n.err = inner.Run(ctx)
	}()
	return n
}

// Kill stops the node immediately and aborts its requests in progress.
func (n *Node) Kill() {
	n.cancel()
	<-n.done
}

// Done returns a channel that is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error with which the node stopped, or nil after a planned stop.
func (n *Node) Err() error { return n.err }

// Stopped reports whether the node has stopped.
func (n *Node) Stopped() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

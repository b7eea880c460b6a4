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

// Kill ends the node at once. What it has in progress is cut off.
func (n *Node) Kill() {
	n.cancel()
	<-n.done
}

// Done is closed when the node has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns how the node ended; nil after a planned stop.
func (n *Node) Err() error { return n.err }

// Stopped reports whether the node has ended.
func (n *Node) Stopped() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

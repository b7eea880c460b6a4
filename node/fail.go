package node

import "go.uber.org/zap"

// guard runs f. A panic in it ends the node, since what it has half changed must not be used on, but not before
// the callers have been told what became of their requests.
func (n *Node) guard(place string, f func()) { n.panics.Guard(place, f, n.fail) }

// fail ends the requests in progress, and then the node.
func (n *Node) fail() {
	n.failOnce.Do(func() {
		n.log.Error("failed", zap.Int64("in_progress", n.relay.InProgress()))
		n.relay.Abort()
		n.awaitAnswered(n.clock.Now().Add(lastAnswerTime))
		close(n.failed)
	})
}

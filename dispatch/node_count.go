package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// countDelay is the time after the start of a node before it adds up the number of nodes:
	// each node of its data centre announces itself each 0.3 s.
	countDelay clock.Millis = 1500
	// countHold is how long a count is kept after a smaller one was reported. A node that has
	// just started may report a count that is too small, and each node's part of the shared
	// budgets must not grow because of that.
	countHold clock.Millis = 15_000
)

// nodeCount estimates the number of nodes, by which the shared budgets are divided.
type nodeCount struct {
	// local is the number of nodes in this data centre, or 0 if this node does not add up the
	// counts. remote holds the numbers that other data centres reported.
	local  int
	remote map[string]int
	// total is the count in use, and countedAt is when it was last confirmed as a lower bound.
	total     int
	countedAt clock.Millis
}

// setPeers updates the count from the membership. An incomplete one gives none: each node would divide the
// shared budgets by the few others that it has met so far.
func (c *nodeCount) setPeers(now clock.Millis, msg PeersMsg) {
	if msg.Incomplete {
		return
	}
	c.local = msg.LocalNodes
	if msg.LocalNodes == 0 && !msg.Aggregated {
		// All nodes are known by name; a lost node is removed after minutes.
		c.total, c.countedAt = msg.TotalNodes, now
	}
	c.recount(now)
}

// peerReported handles a count that another node reported for its data centre or for all nodes.
func (c *nodeCount) peerReported(now clock.Millis, dataCentre string, allNodes bool, nodes int) {
	switch {
	case nodes <= 0:
	case allNodes:
		c.accept(now, nodes)
	default:
		if c.remote == nil {
			c.remote = make(map[string]int)
		}
		c.remote[dataCentre] = nodes
		c.recount(now)
	}
}

// recount adds up the nodes of all data centres.
func (c *nodeCount) recount(now clock.Millis) {
	if c.local == 0 || now < countDelay {
		return
	}
	sum := c.local
	for _, nodes := range c.remote {
		sum += nodes
	}
	c.accept(now, sum)
}

func (c *nodeCount) accept(now clock.Millis, nodes int) {
	if nodes >= c.total || now >= c.countedAt.Add(countHold) {
		c.total, c.countedAt = nodes, now
	}
}

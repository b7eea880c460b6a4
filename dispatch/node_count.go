package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// countDelay is from which time of its life on a node adds up how many nodes there are:
	// those of its data centre tell it of themselves each 0.3 s.
	countDelay clock.Millis = 1500
	// countHold is for how long a number counts after which a smaller one was told: one that
	// counts and has just started does not know all yet, and what each node may do of what
	// all may must not grow for that.
	countHold clock.Millis = 15_000
)

// nodeCount is how many nodes there are, which bounds what each may do of what all may.
type nodeCount struct {
	// local is how many there are in the data centre, 0 where this node does not count them,
	// and elsewhere how many others have told of theirs.
	local  int
	remote map[string]int
	// total is the number that counts, and at is when it was known to be no smaller.
	total     int
	countedAt clock.Millis
}

// setPeers takes what is known of the nodes.
func (c *nodeCount) setPeers(now clock.Millis, msg PeersMsg) {
	c.local = msg.LocalNodes
	if msg.LocalNodes == 0 && !msg.Aggregated {
		// All are known by name, and who is lost is taken off after minutes.
		c.total, c.countedAt = msg.TotalNodes, now
	}
	c.recount(now)
}

// peerReported takes how many nodes of a data centre another one has told of, or of all.
func (c *nodeCount) peerReported(now clock.Millis, dataCentre string, whole bool, nodes int) {
	switch {
	case nodes <= 0:
	case whole:
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

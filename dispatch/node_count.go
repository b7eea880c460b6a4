package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// countsAfter is from which time of its life on a node adds up how many nodes there are:
	// those of its data centre tell it of themselves each 0.3 s.
	countsAfter clock.Millis = 1500
	// countLasts is for how long a number counts after which a smaller one was told: one that
	// counts and has just started does not know all yet, and what each node may do of what
	// all may must not grow for that.
	countLasts clock.Millis = 15_000
)

// nodeCount is how many nodes there are, which bounds what each may do of what all may.
type nodeCount struct {
	// here is how many there are in the data centre, 0 where this node does not count them,
	// and elsewhere how many others have told of theirs.
	here      int
	elsewhere map[string]int
	// all is the number that counts, and at is when it was known to be no smaller.
	all int
	at  clock.Millis
}

// set takes what is known of the nodes.
func (c *nodeCount) set(now clock.Millis, msg PeersMsg) {
	c.here = msg.Here
	if msg.Here == 0 && !msg.Summed {
		// All are known by name, and who is lost is taken off after minutes.
		c.all, c.at = msg.All, now
	}
	c.add(now)
}

// told takes how many nodes of a data centre another one has told of, or of all.
func (c *nodeCount) told(now clock.Millis, dataCentre string, whole bool, nodes int) {
	switch {
	case nodes <= 0:
	case whole:
		c.take(now, nodes)
	default:
		if c.elsewhere == nil {
			c.elsewhere = make(map[string]int)
		}
		c.elsewhere[dataCentre] = nodes
		c.add(now)
	}
}

// add adds up the nodes of all data centres.
func (c *nodeCount) add(now clock.Millis) {
	if c.here == 0 || now < countsAfter {
		return
	}
	sum := c.here
	for _, nodes := range c.elsewhere {
		sum += nodes
	}
	c.take(now, sum)
}

func (c *nodeCount) take(now clock.Millis, nodes int) {
	if nodes >= c.all || now >= c.at.Add(countLasts) {
		c.all, c.at = nodes, now
	}
}

package lab

import "github.com/hoistjunction/hoistjunction/clock"

// favouredGrace is how long after a node is favoured its requests do not count yet.
const favouredGrace clock.Millis = 3000

// favouredNode is a node that gets a share of all first tries.
type favouredNode struct {
	node  *node
	share float64
	since clock.Millis
}

// favourNode makes a running node the favoured one for the duration of a fault.
func (w *world) favourNode(f Fault) {
	favoured := &favouredNode{node: w.nodes[w.faultRand.IntN(len(w.nodes))], share: f.Share, since: w.now}
	w.favoured = favoured
	w.after(f.Duration, func() {
		if w.favoured == favoured {
			w.favoured = nil
		}
	})
}

// preferFavoured returns the favoured node for a share of the first tries, and the given node for
// the others.
func (w *world) preferFavoured(c *caller, n *node) *node {
	f := w.favoured
	if f == nil || !f.node.running || w.eventRand.Float64() >= f.share {
		return n
	}
	c.firstAtFavoured = w.now >= f.since.Add(favouredGrace)
	return f.node
}

package placer

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// queue contains the orders that have not been sent. It is only used by the planner's loop.
type queue struct {
	// seed determines which order of a plan is sent first. Several nodes may have computed the
	// same plan; they share its orders if they start at different ones.
	seed   uint64
	orders []placement.OrderCmd
	// alreadyOrdered contains the engines to which any node has given an order since the last plan
	// was added.
	alreadyOrdered map[fleet.Incarnation]bool
}

// add adds the orders of a new plan.
func (q *queue) add(orders []placement.OrderCmd) {
	if len(orders) == 0 {
		return
	}
	q.orders = slices.DeleteFunc(q.orders, func(o placement.OrderCmd) bool { return q.alreadyOrdered[o.Upstream] })
	q.alreadyOrdered = make(map[fleet.Incarnation]bool)
	start := int(q.seed % uint64(len(orders)))
	q.orders = append(append(q.orders, orders[start:]...), orders[:start]...)
}

// markOrdered records that a node has given an order to an engine. The engine would refuse a
// second order that expects its previous range.
func (q *queue) markOrdered(upstream fleet.Incarnation) {
	if len(q.orders) > 0 {
		q.alreadyOrdered[upstream] = true
	}
}

// first returns the next order to send, if there is one.
func (q *queue) first() (order placement.OrderCmd, ok bool) {
	for len(q.orders) > 0 && q.alreadyOrdered[q.orders[0].Upstream] {
		q.orders = q.orders[1:]
	}
	if len(q.orders) == 0 {
		return placement.OrderCmd{}, false
	}
	return q.orders[0], true
}

// removeFirst removes the first order, which a worker has started.
func (q *queue) removeFirst() { q.orders = q.orders[1:] }

package placer

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/placement"
)

// queue holds the orders that are yet to be given. Only the planner's loop uses it.
type queue struct {
	// seed says where in a plan's orders this node begins. Several nodes may have found
	// the same plan, and share its orders if each begins elsewhere.
	seed   uint64
	orders []placement.OrderCmd
	// alreadyOrdered are engines that have been ordered since the last orders were added, by
	// whichever node.
	alreadyOrdered map[fleet.Incarnation]bool
}

// add adds the orders of a new plan.
func (q *queue) add(orders []placement.OrderCmd) {
	if len(orders) == 0 {
		return
	}
	q.orders = slices.DeleteFunc(q.orders, func(o placement.OrderCmd) bool { return q.alreadyOrdered[o.Upstream] })
	q.alreadyOrdered = make(map[fleet.Incarnation]bool)
	begin := int(q.seed % uint64(len(orders)))
	q.orders = append(append(q.orders, orders[begin:]...), orders[:begin]...)
}

// markOrdered notes that an engine has been ordered to hold something: it takes no second
// order that believes what was before.
func (q *queue) markOrdered(upstream fleet.Incarnation) {
	if len(q.orders) > 0 {
		q.alreadyOrdered[upstream] = true
	}
}

// first returns the order that is to be given next, if there is one.
func (q *queue) first() (order placement.OrderCmd, ok bool) {
	for len(q.orders) > 0 && q.alreadyOrdered[q.orders[0].Upstream] {
		q.orders = q.orders[1:]
	}
	if len(q.orders) == 0 {
		return placement.OrderCmd{}, false
	}
	return q.orders[0], true
}

// removeFirst removes the order that has been taken up.
func (q *queue) removeFirst() { q.orders = q.orders[1:] }

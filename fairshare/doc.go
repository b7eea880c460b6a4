// Package fairshare divides the capacity of a service among client accounts while it is under
// contention, so that an account that sends more, or that retries at once and often, delays itself
// and not the others.
//
// It addresses one load pattern: the requests of all accounts together exceed the capacity of the
// engines, and most of the excess comes from a few accounts. Without shares, each account gets
// capacity in proportion to what it sends, and small accounts are refused because of large ones.
//
// Shares are max-min fair: an account that asks for less than an equal share gets what it asks for,
// and what it leaves goes to those that ask for more. They follow from the use of each account over
// all nodes, which the nodes report to each other. The reports are 0.3 to 0.6 s old. Two measures
// keep the use from oscillating because of that age:
//
//   - A node admits a fraction of the requests of an account above its share. It adapts the fraction
//     gradually to the use that the present rate of new requests leads to.
//   - The draw of a request decides whether it belongs to the admitted fraction. A retry has the same
//     draw, so that retrying does not raise the chance to be admitted.
//
// A Controller holds this state for the services of one node. It holds nothing back without recent
// reports of other nodes. It performs no I/O and receives the time as an argument.
//
//	c := fairshare.New()
//	c.Observe(now, "writer", load)
//	if d := c.Admit(now, "writer", "clinic", draw); !d.Admitted {
//	}
package fairshare

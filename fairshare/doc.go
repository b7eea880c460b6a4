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
// all nodes, which the nodes report to each other. The reports are 0.3 to 0.6 s old. Three measures
// keep the use from oscillating because of that age:
//
//   - An account is limited from when its use exceeds its share by a tolerance until it has been below
//     the share for some time. Requests of other accounts are never held back.
//   - New requests of a limited account are admitted at a rate that leads to its share and the
//     tolerance, however many it sends. Each node admits an equal part, so that an account does not
//     gain by retrying.
//   - The rate follows the use of the account, and is lower while the engines are nearly full.
//
// A Controller holds this state for the services of one node. It holds nothing back without recent
// reports of other nodes. It performs no I/O and receives the time as an argument.
//
//	c := fairshare.New()
//	c.Observe(now, "writer", load)
//	if d := c.Admit(now, "writer", request); !d.Admitted {
//	}
//	c.RecordSent("writer", request)
package fairshare

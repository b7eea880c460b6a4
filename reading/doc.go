// Package reading lets one relay node read the store on behalf of the other nodes in its group.
// A group is a data centre, or several small data centres of a small system.
//
// Every call to the store is expensive, and all nodes need the same data: changes of the
// configuration and of the list of upstreams. In a group with enough nodes, the first node by
// rank waits for changes at the store, and the others wait at that node, their reader. The
// Roster selects the reader, the Log keeps what a node has read and answers requests of
// followers, and a Source follows the Log of another node.
//
// The reader is replaceable: it answers only while its proof that its data is the newest is
// recent. If the reader does not answer, or answers that its proof is too old, the node follows
// the next one by rank, and after a second such failure none. If there is no node to follow,
// the store is unreachable for some nodes or for all of them. The first four by rank then probe
// the store one after the other, and the rest 2 s later, so that hundreds of nodes do not call
// it at the same moment. A node that reaches the store again is followed immediately. A node
// that has just started reads the store itself, because it may have to serve requests
// immediately, and then waits for a reader.
//
// A node that recovers from a store outage keeps the entries that disappeared during the outage
// for a while, because their removal may be false. Until then, other nodes follow it only if
// they have no other choice. It reports the removals that turn out to be real separately
// (Log.AddEnded).
package reading

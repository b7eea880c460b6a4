// Package reading lets one relay node of a data centre, or of a small system with
// small data centres, read the store for the others.
//
// Every call to the store costs, and all nodes want the same of it: what has
// changed in the configuration and in the list of upstreams. So in a group with
// enough nodes the first by name waits at the store, and the others wait at that
// node. The Roster says which node that is, the Log holds what a node has
// read and answers the waits of others, and a Source follows another node's Log.
//
// Nobody depends on the reader: it answers only while its own proof that it
// knows the newest is recent. A node whose reader does not answer, or cannot
// vouch, follows the next one by name, and after a second such failure none. Where
// nobody can be followed the store is away for some nodes or for all; the first
// four by name try it one after the other, the rest two seconds later, so that
// hundreds of nodes do not ask at the same moment. Whoever has the store again is
// followed at once. A node that has just started reads the store itself, since it
// may have to serve in a moment, and then leaves it to others.
//
// A node that has lost the store and has it again holds for a while what vanished from
// the list meanwhile, since it may only have lapsed. It is then followed only where nobody
// else may be, and tells the ends of what does not come back apart (Log.AddEnded).
package reading

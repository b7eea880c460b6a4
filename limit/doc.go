// Package limit keeps a bound that an upstream sets on the requests of all nodes together.
//
// An upstream in need names in its answers how many requests a second it takes from all nodes
// together. A node that kept the whole of it for itself would keep it as many times over as
// there are nodes, and an even share is less than one request where the limit is lower than
// the number of nodes. So one node hands out permits for each limited upstream, its owner,
// which all others work out alike from the names of the nodes. A request that wants to go
// there asks for a permit, one datagram there and one back; what the owner has spent shows in
// its next answers, so no word of it has to reach all nodes.
//
// No owner is elected, and none has a lease. Where the owner does not answer, the next in
// order hands out a small part of the limit, and all of it once the owner has been silent for
// long. One that hears from less than half of the nodes hands out a part only. So whatever
// nodes believe of each other, the parts that are handed out at the same time sum up to no
// more than one and a half times the limit:
//
//	owner                                            1
//	the next two, while the owner may be there       1/8 + 1/16
//	owner of a minority that was cut off             1/4 of these
//
// Permits are worth nothing after permitLifetime, and what is not used is lost: a permit that
// was given back could be used twice.
//
// Keeper is a model: it does no I/O, and the time is handed to it.
package limit

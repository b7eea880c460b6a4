// Package limit enforces a request limit that an upstream advertises for all nodes together.
//
// An overloaded upstream advertises in its response headers how many requests a second it
// accepts from all nodes together. If each node allowed itself the whole limit, the upstream
// would get that many requests from each of them, and an equal share for each node is less than
// one request where the limit is lower than the number of nodes. So each limited upstream has
// an owner, a node that grants permits for it, and all nodes compute the same owner from the
// names of the nodes. A node requests a permit with one datagram and gets it with another. Each
// grant reports when the next permit is due, so the owner's counts need not reach all nodes.
//
// Owners are not elected and hold no lease. If the owner does not answer, the next candidate
// grants a small fraction of the limit, and the whole limit once the owner has been unreachable
// for long. A node that can reach less than half of the nodes grants only a fraction. So even if
// the nodes' views differ, the fractions that are granted at the same time add up to at most
// one and a half times the limit:
//
//	owner                                                       1
//	the next two candidates, while the owner may be running     1/8 + 1/16
//	an owner in a minority that is cut off                      1/4 of these
//
// Permits expire after permitLifetime, and unused ones are lost: a permit that was returned to
// the owner could be used twice.
//
// A Limiter does no I/O, and its methods take the current time.
package limit

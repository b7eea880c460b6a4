// Package forwarding chooses the node that serves a request in place of a node that reaches no
// suitable upstream itself.
//
// A node knows little of the others' links, so it asks: a node that has no path either answers so
// without executing the request, and is not asked again for a while. Nodes that have served a
// request lately are preferred, the less loaded of two random ones; a share of the requests goes
// to nodes about which nothing is known, so that the load is spread over all that have a path.
//
// Times are in ms of the caller's clock. Nodes is not safe for concurrent use.
package forwarding

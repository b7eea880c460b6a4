// Package reachability tells the loss of a node's own links from the loss of the upstreams
// behind them.
//
// A Table holds the evidence of one node, by data centre of the upstreams: which of them it
// failed to reach since any of them last answered. A single failure says that one upstream may
// have crashed. Failures of several upstreams without an answer of any other say that the node
// may be partitioned from the data centre, and then nothing about the upstreams there.
//
// Times are in ms of the caller's clock. A Table is not safe for concurrent use.
package reachability

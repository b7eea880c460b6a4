// Package entry connects the decision model of package core to the network. It
// converts requests, responses and timer ticks into messages for the model and
// executes the commands that the model returns. It makes no decisions itself.
//
// Each task has its own goroutines, which communicate through bounded rings:
//
//	callers   HTTP handlers; submit requests and wait at their mailboxes
//	model     the only goroutine that accesses the core.Model
//	engines   one writer and one reader for each engine's stream
//	calls     one for each call to a plain service in progress
//	store     one each for claims, commits, reads and the list of VMs
//	peers     heartbeats, fetches and relays
//	admin     operators' calls, metrics and health
//
// When the ring of submissions is full, a submission is rejected with the outcome
// not_run. Replies from engines wait for space in their ring instead; their number
// is bounded by the number of steps sent.
package entry

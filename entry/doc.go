// Package entry is the shell around the core: it turns the world into
// messages and carries commands out. It decides nothing.
//
// Each duty has goroutines of its own, joined by bounded rings:
//
//	callers   HTTP handlers; offer submissions, wait at their mailbox
//	decide    the only one that touches the core.Model
//	engines   a writer and a reader for each engine's stream
//	calls     one for each plain call in progress
//	store     claims, commits and reads, one goroutine each
//	peers     heartbeats, fetches and relays
//	admin     operators' calls, metrics and health
//
// A full ring before the decisions sheds the submission with the outcome
// not_run. Answers from engines wait for their turn instead; there are never
// more of them than steps that have been sent.
package entry

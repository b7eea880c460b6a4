// Package relay forwards callers' requests to upstreams as package dispatch decides, and
// returns the answers byte for byte.
//
// A session handles one request: it reports events to the decider and carries out the decider's
// commands. Each attempt runs in its own goroutine and sends its updates to the session over a
// channel.
package relay

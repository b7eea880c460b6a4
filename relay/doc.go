// Package relay is the shell around the decisions of package dispatch: it
// takes callers' requests, carries out the attempts, and passes answers on
// byte for byte.
//
// A session lives as long as one request. It reports to the decider what
// happens, and does what the decider's commands say. Attempts run in
// goroutines of their own and speak to their session through a channel.
package relay

// Package dispatch decides how a node handles each request that it relays: which upstream or
// chain of engines serves it, whether a failed attempt is retried, whether a stalled stream
// migrates to other engines, and when the request is refused.
//
// Model follows the Elm architecture: it takes messages and returns commands. Update is its only
// input, performs no I/O and receives the time as an argument, so replaying the same messages
// yields the same commands.
//
//	m := dispatch.New(dispatch.WithDataCentre("dc-1"), dispatch.WithSeed(1))
//	cmds := m.Update(now, dispatch.ArriveMsg{Request: 1, Host: "ficu95.example", ...})
//
// A request is one call of a client; a client retry is a new request. An attempt is one sending
// of a request to an upstream. An attempt counts as executed unless the upstream answers that it
// did not execute the request, or nothing was sent.
package dispatch

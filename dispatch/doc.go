// Package dispatch decides what becomes of each request that a node relays:
// which upstream or chain of engines takes it, whether a failed attempt is
// repeated, whether a stalled stream moves, and when to give up.
//
// It is a model in the sense of the Elm architecture: messages in, commands
// out. Update is the only way in, it does no I/O, and it gets the time handed
// to it, so a list of messages replays to the same commands.
//
//	m := dispatch.New(dispatch.WithDataCentre("dc-1"), dispatch.WithSeed(1))
//	cmds := m.Update(now, dispatch.ArriveMsg{Request: 1, Host: "ficu95.example", ...})
//
// Words: a request is one try of a caller. An attempt is one sending of it to
// an upstream. An attempt has run unless the upstream says that it has not, or
// nothing was sent.
package dispatch

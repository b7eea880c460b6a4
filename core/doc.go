// Package core makes every decision of an entry node: admission, queueing, the choice of upstreams,
// retries, at-most-once execution, cluster membership, configuration and drain.
//
// Model is the state. A Msg is an event: a caller submitted a request, an engine answered a step, a
// timer ticked. A Cmd is an action to execute: send a step, give a caller an answer, commit claims.
// Update takes the time and a Msg, changes the Model and returns the Cmds:
//
//	m := core.New(core.WithNode(self), core.WithSeed(1))
//	for _, cmd := range m.Update(now, core.TickMsg{}) {
//		// execute cmd, and pass its result to a later Update as a Msg
//	}
//
// Update is deterministic: it starts no goroutine, does no I/O, reads no clock, uses only the seeded
// random source and does not depend on the iteration order of maps. The same messages at the same
// times give the same commands, so a recording of a node's messages can be replayed, and the
// guarantees can be tested over millions of steps.
//
// A request passes through the files submit, claim, admit, dispatch, then step (for a pipeline) or
// call (for a plain service), and finish.
package core

// Package core takes every decision of an entry node: admission, queueing,
// the choice of upstreams, retries, at most once, membership, configuration
// and drain.
//
// It has a small vocabulary. The Model is the state. A Msg is something that
// happened: a caller submitted a request, an engine answered a step, a timer
// ticked. A Cmd is something to be done: send this step, give that caller an
// answer, commit these claims. Update takes the time and a Msg, changes the
// Model and returns the Cmds:
//
//	m := core.New(core.WithNode(self), core.WithSeed(1))
//	for _, cmd := range m.Update(now, core.TickMsg{}) {
//		// carry it out, and send what comes of it back as a Msg
//	}
//
// Update is pure: no goroutine, no I/O, no clock, no randomness but the seeded
// one, and nothing that depends on the order of a map. The same messages at
// the same times give the same commands. That is why a recording of a node's
// messages can be replayed, and why the promises can be tested at millions of
// steps.
//
// The life of a request is told by the names of the files: submit, claim,
// admit, dispatch, then step (for a pipeline) or call (for a plain service),
// and finish.
package core

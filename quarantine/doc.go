// Package quarantine finds the requests that end the upstreams that run them, so that
// they are sent to none.
//
// A request may end each upstream that begins to run it: a prompt that an engine's
// software cannot stand. Whoever else is served there loses its answer too, and the
// request comes again, at any node, under another id. So what counts is its work (package
// work), and what is known of it must not hang on one try or one node.
//
// Evidence against a work is a loss: an attempt at an upstream that brought nothing, an
// upstream that has ended, and nothing that has begun to answer. One loss says little:
// whoever had just begun there has one. A work is quarantined once three upstreams have
// ended under it, unless another work has lost all of these too. Then it cannot be told
// which of them it was, and the next loss tells: works under suspicion are sent to
// different upstreams, by a hash that all nodes agree on. Ends that a quarantined work
// explains do not count against others. What an upstream answers is cleared.
//
// The table takes in what happened and returns what follows, and does no I/O.
package quarantine

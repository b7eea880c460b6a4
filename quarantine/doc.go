// Package quarantine finds poison requests, which crash the upstreams that execute them, so
// that they are no longer sent to any upstream.
//
// A poison request can crash each upstream that starts to execute it, such as a prompt that
// triggers a fault in an engine's software. The other requests at that upstream lose their
// responses too, and the poison request is retried at any node under another request ID. So
// requests are identified by their content (package work), and losses of all attempts and all
// nodes are combined.
//
// The evidence against a request is a loss: an attempt that failed without a response, at an
// upstream that crashed. One loss is weak evidence, since every request that had just started
// there has one. A request is quarantined once three upstreams have crashed under it, unless
// another request was lost at all of them too. It is then unknown which of the two caused the
// crashes, and the next loss decides: suspected requests are sent to different upstreams, by a
// hash that is the same at all nodes. Crashes that a quarantined request explains do not count
// against other requests. A request that an upstream answers is cleared.
//
// A Table turns observations into events, and does no I/O.
package quarantine

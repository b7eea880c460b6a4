// Package quarantine finds poison requests, which crash the upstreams that execute them, so
// that they are no longer sent to any upstream.
//
// A poison request can crash each upstream that starts to execute it, such as a prompt that
// triggers a fault in an engine's software. The other requests at that upstream lose their
// responses too, and the poison request is retried at any node under another request ID. So
// requests are identified by their content (package work), and losses of all attempts and all
// nodes are combined. What crashes upstreams may also be one part of a prompt, whatever else the
// request holds. Parts have IDs like requests, and one table holds the evidence against both.
//
// The evidence is a loss: an attempt that failed without a response, at an upstream that crashed.
// It counts against the request and against each part of its prompt that other requests may share.
// One loss is weak evidence, since every request that had just started there has one.
//
// A request is quarantined once three upstreams have crashed under it, unless something else was
// lost at all of them too. It is then unknown which of the two caused the crashes, and the next
// loss decides: suspected requests are sent to different upstreams, by a hash that is the same at
// all nodes.
//
// A part is quarantined once three different requests with it were lost at upstreams that crashed,
// and it is too unlikely that it was there by chance: a part that a third of all requests have is at
// almost every upstream. Nodes count the parts of the requests that they have had answered, and
// report these counts to nodes that might take a part for the cause. The evidence against the part
// must exceed that against anything else that was lost there.
//
// Crashes that are attributed to a request or a part do not count against others. What an upstream
// answers is cleared.
//
// A node that may be cut from an upstream withdraws what it found of its state. What was lost there
// is kept, and counts again once the upstream is found to be unresponsive or to have crashed.
//
// A Table turns observations into events, and does no I/O.
package quarantine

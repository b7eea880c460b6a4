// Package overload tells whether a node has more to do than its processor bears, and how many new
// connections it takes then.
//
// A goroutine that is ready runs later by the work that waits before it. That delay is about the same for
// whatever the node does next: it reads an answer that has long arrived, it notices that a timer has fired,
// it accepts a connection. A Meter holds the delays of the last moments, which the runtime counts. What
// judges the silence of others adds the longest to its limits, since an answer may lie unread.
//
// A Limiter bounds the rate of new connections while the typical delay is long. A connection whose request is
// not read costs little, and its client's next try meets another node; a request that has been read cannot
// be given back.
//
// Meter and Limiter perform no I/O and receive the time as an argument. A Monitor measures, and holds
// both for the goroutines of a node; a Listener refuses the connections that are over the limit.
package overload

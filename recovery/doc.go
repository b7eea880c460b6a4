// Package recovery schedules the streams that must leave engines which were lost or are leaving.
//
// All nodes lose their streams through an engine at the same moment, and the few engines that
// hold its layers read the prompts of all of them again, one after the other. A Queue orders the
// streams of one node. A Backlog estimates how long each engine reads the prompts that all nodes
// have moved to it, so that a node spreads its streams and bounds the rate at which it moves them.
//
// The package is pure: it performs no I/O and receives the time as an argument.
package recovery

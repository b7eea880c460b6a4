// Package lab simulates pipelines of model layers over mixed accelerators in one process and
// in simulated time: engines, a delayed list of them, relay nodes, callers and faults.
//
// The nodes run the real models (dispatch, placement, fleet), fed with the messages that their
// I/O code would send them; everything else is simulated. Engines use continuous batching: each
// stage of a chain takes longer per token the more streams are in its batch and the more prompts
// wait to be read; prompts are read one after the other; memory, slots and concurrent loads are
// bounded. The simulated behaviour follows published behaviour of such engines and an operator's
// figures. It is coarse: streams advance several events at a time, a CPU has one queue, and
// datagrams are lost only at random. The order in which a scenario ranks two variants is more
// reliable than its absolute figures (docs/LAB.md).
//
//	s, err := lab.LoadScenario("fleet.ini")
//	result := lab.Run(s, lab.Variant{}, 7)
//
// The same scenario, variant and seed always give the same result.
package lab

// Package lab is an emulator of pipelines over mixed accelerators: engines, a list of them
// that lags, nodes, callers and troubles in simulated time, in one process.
//
// The nodes are the real models (dispatch, placement, fleet), told what their shells would
// tell them; the rest is played. Engines batch continuously: a token takes a step on each
// part of its chain, which is the longer the more streams pass there and the more prompts
// wait to be read; prompts are read one after the other; memory, slots and loads are bounded.
// What is played follows published behaviour of such engines and an operator's figures. It is
// coarse: streams go on some events at a time, there is no processor to run out of, and
// datagrams are lost at random alone. What a scenario says of the order of two ways is worth
// more than its figures (docs/LAB.md).
//
//	s, err := lab.Load("fleet.ini")
//	result := lab.Run(s, lab.Variant{}, 7)
//
// The same scenario, variant and seed give the same result.
package lab

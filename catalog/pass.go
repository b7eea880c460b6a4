package catalog

import "math"

// Pass is what an engine does in a pass: it writes some tokens of each stream in its
// batch, and reads a bounded part of the prompts that wait.
type Pass struct {
	// Steps is how many tokens of each stream it writes.
	Steps float64
	// Read is how many tokens of prompts it reads at the most; zero for no bound.
	Read float64
	// Prompt is the tokens of a usual prompt.
	Prompt float64
	// Slowdown is by which part of its time each further stream of a usual size makes
	// a step slower.
	Slowdown float64
}

// tokensPerK converts a cost for each 1,000 tokens.
const tokensPerK = 1000

// Pass returns what an engine of the pipeline does in a pass.
func (p *Pipeline) Pass() Pass {
	prompt, answer := p.Usual()
	pass := Pass{Steps: p.StepsInPass, Read: p.ReadInPass, Prompt: prompt}
	if p.StepMS > 0 {
		pass.Slowdown = (p.SequenceMS + p.ContextMS*(prompt+answer)/tokensPerK) / p.StepMS
	}
	return pass
}

// Reads returns how many prompts are read in a ms at the most, where a step with one
// stream takes step, a token of a prompt takes read, both in ms, and a number of streams
// is in the batch. A pass takes as long as its steps and its reading do. It is infinite
// where a pass is not bounded.
func (p Pass) Reads(step, read, batch float64) float64 {
	takes := p.Steps*step*(1+p.Slowdown*batch) + p.Read*read
	if p.Read <= 0 || takes <= 0 {
		return math.Inf(1)
	}
	return p.Read / takes / p.Prompt
}

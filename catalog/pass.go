package catalog

import "math"

// Pass is what an engine does in a pass: it writes some tokens of each stream in its
// batch, and reads a bounded part of the prompts that wait.
type Pass struct {
	// DecodeSteps is how many tokens of each stream it writes.
	DecodeSteps float64
	// MaxPromptTokens is how many tokens of prompts it reads at the most; zero for no bound.
	MaxPromptTokens float64
	// Prompt is the tokens of a usual prompt.
	Prompt float64
	// StreamSlowdown is by which part of its time each further stream of a usual size makes
	// a step slower.
	StreamSlowdown float64
}

// tokensPerThousand converts a cost for each 1,000 tokens.
const tokensPerThousand = 1000

// Pass returns what an engine of the pipeline does in a pass.
func (p *Pipeline) Pass() Pass {
	prompt, answer := p.MeanTokens()
	pass := Pass{DecodeSteps: p.StepsPerPass, MaxPromptTokens: p.PromptTokensPerPass, Prompt: prompt}
	if p.StepMS > 0 {
		pass.StreamSlowdown = (p.SequenceMS + p.ContextMS*(prompt+answer)/tokensPerThousand) / p.StepMS
	}
	return pass
}

// PromptRate returns how many prompts are read in a ms at the most, where a step with one
// stream takes step, a token of a prompt takes read, both in ms, and a number of streams
// is in the batch. A pass takes as long as its steps and its reading do. It is infinite
// where a pass is not bounded.
func (p Pass) PromptRate(step, read, batch float64) float64 {
	takes := p.DecodeSteps*step*(1+p.StreamSlowdown*batch) + p.MaxPromptTokens*read
	if p.MaxPromptTokens <= 0 || takes <= 0 {
		return math.Inf(1)
	}
	return p.MaxPromptTokens / takes / p.Prompt
}

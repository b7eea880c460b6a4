package catalog

import "math"

// Pass describes one pass of an engine over its batch: it generates some tokens of each stream,
// and reads a bounded number of tokens of waiting prompts.
type Pass struct {
	// DecodeSteps is how many tokens of each stream a pass generates.
	DecodeSteps float64
	// MaxPromptTokens bounds the prompt tokens that a pass reads; zero for no bound.
	MaxPromptTokens float64
	// PromptTokens is the mean length of a prompt, in tokens.
	PromptTokens float64
	// StreamSlowdown is the fraction by which each further stream of mean size lengthens a
	// step.
	StreamSlowdown float64
}

// tokensPerThousand converts costs that are given per 1,000 tokens.
const tokensPerThousand = 1000

// Pass returns the pass of an engine of the pipeline.
func (p *Pipeline) Pass() Pass {
	prompt, answer := p.MeanTokens()
	pass := Pass{DecodeSteps: p.StepsPerPass, MaxPromptTokens: p.PromptTokensPerPass, PromptTokens: prompt}
	if p.StepMS > 0 {
		pass.StreamSlowdown = (p.SequenceMS + p.ContextMS*(prompt+answer)/tokensPerThousand) / p.StepMS
	}
	return pass
}

// PromptRate returns how many prompts an engine can read per ms while a number of streams is in
// its batch. step is the time of a step with one stream and read the time to read a prompt
// token, both in ms. A pass takes the time of its steps plus that of its reading. The rate is
// infinite if a pass reads without bound.
func (p Pass) PromptRate(step, read, batch float64) float64 {
	passTime := p.DecodeSteps*step*(1+p.StreamSlowdown*batch) + p.MaxPromptTokens*read
	if p.MaxPromptTokens <= 0 || passTime <= 0 {
		return math.Inf(1)
	}
	return p.MaxPromptTokens / passTime / p.PromptTokens
}

// FirstTokenTime returns the time from the arrival of a prompt at an idle engine to the first
// token of its answer, in ms, with step and read as for PromptRate. A prompt of unknown length
// counts as one of mean length.
func (p Pass) FirstTokenTime(promptTokens, step, read float64) float64 {
	if promptTokens <= 0 {
		promptTokens = p.PromptTokens
	}
	passes := 1.0
	if p.MaxPromptTokens > 0 {
		passes = max(math.Ceil(promptTokens/p.MaxPromptTokens), 1)
	}
	return passes*max(p.DecodeSteps, 1)*step + promptTokens*read
}

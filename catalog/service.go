package catalog

import "math"

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string
	// HealthPath is where its upstreams are asked how they are, and say who they are;
	// empty for nowhere.
	HealthPath string
	// Pipeline is set where the upstreams are engines that hold parts of a
	// model, and nil for plain services.
	Pipeline *Pipeline
}

// Pipeline describes a model that engines hold in parts, and its costs.
type Pipeline struct {
	// Layers is how many layers the model has, and LayerMB the memory of each
	// in MB.
	Layers  int
	LayerMB float64
	// TokenBytes is the memory of one token over all layers, in bytes.
	TokenBytes float64
	// StepMS is the time of one token over all layers on an accelerator of factor
	// 1, in ms.
	StepMS float64
	// SequenceMS is what each further stream in a batch adds to that, and
	// ContextMS what each 1,000 tokens of its context do, in ms.
	SequenceMS float64
	ContextMS  float64
	// ReadRate is how many tokens of a prompt an accelerator of factor 1 reads
	// through all layers, in tokens a ms.
	ReadRate float64
	// StepsPerPass is how many tokens of each stream an engine writes in a pass, and
	// PromptTokensPerPass how many of prompts it reads beside them at the most; zero for no
	// bound.
	StepsPerPass        float64
	PromptTokensPerPass float64
	// LoadMS is the time of loading all layers, in ms.
	LoadMS float64
	// MeanPromptTokens and MeanAnswerTokens are the operator's word on the mean tokens of a
	// request; zero where it gives none.
	MeanPromptTokens float64
	MeanAnswerTokens float64
	// Accelerators are the kinds in use, by name.
	Accelerators map[string]Accelerator
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	Name string
	// MemoryMB is its memory.
	MemoryMB float64
	// StepFactor multiplies the time of a step: larger is slower.
	StepFactor float64
	// ReadFactor multiplies the time of reading a prompt: larger is slower.
	ReadFactor float64
}

// MemoryInLayers is an accelerator's memory in layers, with the part of one that is
// left over.
func (p *Pipeline) MemoryInLayers(a Accelerator) float64 {
	if p.LayerMB <= 0 {
		return 0
	}
	return a.MemoryMB / p.LayerMB
}

// MaxLayers is how many layers fit into an accelerator's memory.
func (p *Pipeline) MaxLayers(a Accelerator) int { return min(int(p.MemoryInLayers(a)), p.Layers) }

// bytesPerMB converts the platform's MB.
const bytesPerMB = 1e6

// RequestMemory returns the memory that an accelerator has for requests beside a number
// of layers, in tokens times layers.
func (p *Pipeline) RequestMemory(a Accelerator, layers int) float64 {
	perToken := p.TokenBytes / float64(max(p.Layers, 1))
	if perToken <= 0 {
		return 0
	}
	return max(0, a.MemoryMB-float64(layers)*p.LayerMB) * bytesPerMB / perToken
}

// LayerTokens returns what the memory of one layer's weights would hold, in
// tokens times layers.
func (p *Pipeline) LayerTokens() float64 {
	perToken := p.TokenBytes / float64(max(p.Layers, 1))
	if perToken <= 0 {
		return 0
	}
	return p.LayerMB * bytesPerMB / perToken
}

// ReadTime returns the time of reading one token of a prompt through some
// layers, in ms.
func (p *Pipeline) ReadTime(a Accelerator, layers int) float64 {
	if p.ReadRate <= 0 {
		return 0
	}
	return a.ReadFactor * float64(layers) / float64(max(p.Layers, 1)) / p.ReadRate
}

// MeanTokens returns the mean tokens of a request's prompt and answer, by the operator's
// word or, without it, those of the first users' drafts.
func (p *Pipeline) MeanTokens() (prompt, answer float64) {
	prompt, answer = p.MeanPromptTokens, p.MeanAnswerTokens
	if prompt <= 0 {
		prompt = defaultPromptTokens
	}
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	return prompt, answer
}

// Sizes of a request where the operator gives none, in tokens.
const (
	defaultPromptTokens = 750
	defaultAnswerTokens = 150
)

// PromptRate is how many prompts an accelerator reads in a ms at the most while a
// number of streams is in its batch.
func (p *Pipeline) PromptRate(a Accelerator, layers int, batch float64) float64 {
	if layers == 0 {
		return math.Inf(1)
	}
	return p.Pass().PromptRate(p.StepTime(a, layers), p.ReadTime(a, layers), batch)
}

// StepTime returns the time of one token over some layers, in ms.
func (p *Pipeline) StepTime(a Accelerator, layers int) float64 {
	return p.StepMS * a.StepFactor * float64(layers) / float64(max(p.Layers, 1))
}

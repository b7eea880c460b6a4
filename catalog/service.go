package catalog

import (
	"maps"
	"math"
	"slices"
)

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string
	// HealthPath is the path at which upstreams report their health and identity; empty for
	// none.
	HealthPath string
	// Pipeline is set for engines, which hold parts of a model, and nil for plain services.
	Pipeline *Pipeline
}

// Pipeline describes a model whose layers are distributed over engines, and the costs of
// running it.
type Pipeline struct {
	// Layers is the number of layers, and LayerMB the memory of each in MB.
	Layers  int
	LayerMB float64
	// TokenBytes is the memory of one token over all layers, in bytes.
	TokenBytes float64
	// StepMS is the time to generate one token through all layers on an accelerator of factor
	// 1, in ms.
	StepMS float64
	// SequenceMS is the time that each further stream in a batch adds to a step, and ContextMS
	// that of each 1,000 tokens of its context, in ms.
	SequenceMS float64
	ContextMS  float64
	// ReadRate is the rate at which an accelerator of factor 1 reads prompts through all
	// layers, in tokens per ms.
	ReadRate float64
	// StepsPerPass is how many tokens of each stream an engine generates in a pass, and
	// PromptTokensPerPass bounds the prompt tokens that it reads in the pass; zero for no
	// bound.
	StepsPerPass        float64
	PromptTokensPerPass float64
	// LoadMS is the time to load all layers, in ms.
	LoadMS float64
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of a request's prompt and
	// answer that the operator configured; zero for none.
	MeanPromptTokens float64
	MeanAnswerTokens float64
	// Accelerators are the kinds of accelerator by name.
	Accelerators map[string]Accelerator
	// Models are the names of the models that engines may have; empty for any.
	Models []string
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	Name string
	// MemoryMB is the accelerator's memory in MB.
	MemoryMB float64
	// StepFactor multiplies the time of a step: larger is slower.
	StepFactor float64
	// ReadFactor multiplies the time to read a prompt: larger is slower.
	ReadFactor float64
}

// MemoryInLayers returns how many layers an accelerator's memory could hold, including a
// fraction.
func (p *Pipeline) MemoryInLayers(a Accelerator) float64 {
	if p.LayerMB <= 0 {
		return 0
	}
	return a.MemoryMB / p.LayerMB
}

// MaxLayers returns how many whole layers an accelerator can hold.
func (p *Pipeline) MaxLayers(a Accelerator) int {
	return int(min(p.MemoryInLayers(a), float64(p.Layers)))
}

// memoryRounding is the relative error that a memory size may have from its decimal notation.
const memoryRounding = 1e-9

// Fits reports whether a number of layers fits into an accelerator's memory. Without a size of the layers, any
// number does.
func (p *Pipeline) Fits(a Accelerator, layers int) bool {
	return float64(layers)*p.LayerMB <= a.MemoryMB*(1+memoryRounding) || p.LayerMB <= 0
}

// HasModel reports whether engines may have a model. An engine that names none may be one of any.
func (p *Pipeline) HasModel(name string) bool {
	return name == "" || len(p.Models) == 0 || slices.Contains(p.Models, name)
}

// SameEngines reports whether the same engines fit both pipelines.
func (p *Pipeline) SameEngines(other *Pipeline) bool {
	if p == nil || other == nil {
		return p == other
	}
	return p.Layers == other.Layers && p.LayerMB == other.LayerMB && maps.Equal(p.Accelerators, other.Accelerators) && slices.Equal(p.Models, other.Models)
}

// bytesPerMB is the platform's definition of MB.
const bytesPerMB = 1e6

// RequestMemory returns the memory for requests of an accelerator that holds a number of
// layers, in tokens times layers.
func (p *Pipeline) RequestMemory(a Accelerator, layers int) float64 {
	perToken := p.TokenBytes / float64(max(p.Layers, 1))
	if perToken <= 0 {
		return 0
	}
	return max(0, a.MemoryMB-float64(layers)*p.LayerMB) * bytesPerMB / perToken
}

// LayerTokens returns the memory of one layer's weights, in tokens times layers.
func (p *Pipeline) LayerTokens() float64 {
	perToken := p.TokenBytes / float64(max(p.Layers, 1))
	if perToken <= 0 {
		return 0
	}
	return p.LayerMB * bytesPerMB / perToken
}

// ReadTime returns the time to read one token of a prompt through a number of layers, in ms.
func (p *Pipeline) ReadTime(a Accelerator, layers int) float64 {
	if p.ReadRate <= 0 {
		return 0
	}
	return a.ReadFactor * float64(layers) / float64(max(p.Layers, 1)) / p.ReadRate
}

// MeanTokens returns the mean lengths of a request's prompt and answer in tokens: those that
// the operator configured, or else the defaults.
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

// Mean lengths of a request in tokens if the operator configures none, from the first users' drafts.
const (
	defaultPromptTokens = 750
	defaultAnswerTokens = 150
)

// PromptRate returns how many prompts an accelerator that holds a number of layers can read per
// ms while a number of streams is in its batch.
func (p *Pipeline) PromptRate(a Accelerator, layers int, batch float64) float64 {
	if layers == 0 {
		return math.Inf(1)
	}
	return p.Pass().PromptRate(p.StepTime(a, layers), p.ReadTime(a, layers), batch)
}

// StepTime returns the time to generate one token through a number of layers, in ms.
func (p *Pipeline) StepTime(a Accelerator, layers int) float64 {
	return p.StepMS * a.StepFactor * float64(layers) / float64(max(p.Layers, 1))
}

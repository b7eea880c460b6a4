package placement

import "github.com/hoistjunction/hoistjunction/catalog"

// Sizes of a request where the operator gives none, in tokens. They are those of
// the first two users' drafts.
const (
	defaultPrompt = 750.0
	defaultAnswer = 150.0
)

// Shape is what a plan has to know of a pipeline.
type Shape struct {
	Layers int
	// LayerTokens is what the memory of one layer's weights would hold, in tokens
	// times layers.
	LayerTokens float64
	// LoadTime is the time of loading one layer, in ms.
	LoadTime float64
	// Prompt and Answer are the tokens of a usual request.
	Prompt float64
	Answer float64
	// Slowdown is by which part of its time each further stream of a batch makes a
	// token slower.
	Slowdown float64
}

// ShapeOf returns the shape of a pipeline.
func ShapeOf(p *catalog.Pipeline) Shape {
	s := Shape{
		Layers: p.Layers, LayerTokens: p.LayerTokens(), LoadTime: p.LoadMS / float64(max(p.Layers, 1)),
		Prompt: p.UsualPrompt, Answer: p.UsualAnswer,
	}
	if s.Prompt <= 0 {
		s.Prompt = defaultPrompt
	}
	if s.Answer <= 0 {
		s.Answer = defaultAnswer
	}
	if p.StepMS > 0 {
		s.Slowdown = (p.SequenceMS + p.ContextMS*s.tokens()/tokensPerK) / p.StepMS
	}
	return s
}

// tokensPerK converts a cost for each 1,000 tokens.
const tokensPerK = 1000.0

// tokens is the memory that a usual request takes at each layer.
func (s *Shape) tokens() float64 { return s.Prompt + s.Answer }

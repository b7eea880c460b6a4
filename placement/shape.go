package placement

import "github.com/hoistjunction/hoistjunction/catalog"

// Shape contains the properties of a pipeline that a plan depends on.
type Shape struct {
	Layers int
	// LayerTokens is the number of request tokens, for one layer, that fit into the memory of one
	// layer's weights.
	LayerTokens float64
	// LoadTime is the time to load one layer, in milliseconds.
	LoadTime float64
	// PromptTokens and AnswerTokens are the tokens of a request of the usual size.
	PromptTokens float64
	AnswerTokens float64
	// Pass describes the cost of an engine's pass.
	Pass catalog.Pass
}

// ShapeOf returns the shape of a pipeline.
func ShapeOf(p *catalog.Pipeline) Shape {
	s := Shape{
		Layers: p.Layers, LayerTokens: p.LayerTokens(), LoadTime: p.LoadMS / float64(max(p.Layers, 1)),
		Pass: p.Pass(),
	}
	s.PromptTokens, s.AnswerTokens = p.MeanTokens()
	return s
}

// requestTokens returns the tokens of a request of the usual size, which occupy memory at each
// layer.
func (s *Shape) requestTokens() float64 { return s.PromptTokens + s.AnswerTokens }

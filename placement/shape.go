package placement

import "github.com/hoistjunction/hoistjunction/catalog"

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
	// Pass is what an engine does in a pass.
	Pass catalog.Pass
}

// ShapeOf returns the shape of a pipeline.
func ShapeOf(p *catalog.Pipeline) Shape {
	s := Shape{
		Layers: p.Layers, LayerTokens: p.LayerTokens(), LoadTime: p.LoadMS / float64(max(p.Layers, 1)),
		Pass: p.Pass(),
	}
	s.Prompt, s.Answer = p.MeanTokens()
	return s
}

// requestTokens is the memory that a usual request takes at each layer.
func (s *Shape) requestTokens() float64 { return s.Prompt + s.Answer }

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
	// Slowdown is by which part of its time each further stream of a batch makes a
	// token slower.
	Slowdown float64
	// StepsInPass is how many tokens of each stream an engine writes in a pass, and
	// ReadInPass how many of prompts it reads beside them at the most.
	StepsInPass float64
	ReadInPass  float64
}

// ShapeOf returns the shape of a pipeline.
func ShapeOf(p *catalog.Pipeline) Shape {
	s := Shape{
		Layers: p.Layers, LayerTokens: p.LayerTokens(), LoadTime: p.LoadMS / float64(max(p.Layers, 1)),
		StepsInPass: p.StepsInPass, ReadInPass: p.ReadInPass,
	}
	s.Prompt, s.Answer = p.Usual()
	s.Slowdown = p.Slowdown(s.tokens())
	return s
}

// tokens is the memory that a usual request takes at each layer.
func (s *Shape) tokens() float64 { return s.Prompt + s.Answer }

package standin

import "github.com/hoistjunction/hoistjunction/wire"

// session is one generation of a request at an engine: its caches, and the
// position that it expects next.
type session struct {
	generation   uint32
	nextPosition uint32
	caches       []uint64
	lastReply    *wire.StepReply
}

func newSession(generation uint32, c EngineConfig) *session {
	return &session{generation: generation, caches: make([]uint64, c.LastLayer-c.FirstLayer+1)}
}

// execute runs the engine's layers over a step's positions and fills the reply.
func (s *session) execute(step *wire.StepRequest, c EngineConfig, reply *wire.StepReply) {
	inputs := step.GetInputs()
	if c.FirstLayer == 0 {
		inputs = embedTokens(step, s.nextPosition)
	}
	outputs := make([]uint64, 0, len(inputs))
	for _, input := range inputs {
		outputs = append(outputs, s.executePosition(c, input))
	}
	reply.Positions = uint32(len(outputs))
	s.lastReply = reply
	if !c.Final {
		reply.Outputs = outputs
		return
	}
	reply.Token, reply.Last = chooseToken(outputs[len(outputs)-1])
	reply.Text = tokenText(reply.GetToken())
}

func (s *session) executePosition(c EngineConfig, input uint64) uint64 {
	for layer := c.FirstLayer; layer <= c.LastLayer; layer++ {
		input = runLayer(layer, s.nextPosition, &s.caches[layer-c.FirstLayer], input)
	}
	s.nextPosition++
	return input
}

func embedTokens(step *wire.StepRequest, position uint32) []uint64 {
	tokens := append(tokenize(step.GetPrompt()), step.GetTokens()...)
	inputs := make([]uint64, 0, len(tokens))
	for i, token := range tokens {
		inputs = append(inputs, embedToken(token, position+uint32(i)))
	}
	return inputs
}

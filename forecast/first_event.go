package forecast

import "github.com/hoistjunction/hoistjunction/catalog"

// FirstEvent returns the predicted time from sending a request to the first event of its answer,
// in ms. pass describes the engines' passes, promptTokens is the number of tokens that the engines
// must read, and stages are the engines in the order of the chain. It returns 0 without stages.
//
// The prediction never falls when a token, a stream or a slowdown is added to any stage.
func FirstEvent(pass catalog.Pass, promptTokens float64, stages []Stage) float64 {
	if len(stages) == 0 {
		return 0
	}
	first := stages[0]
	// The streams in the slot queue are among those whose prompts wait, so the two waits overlap.
	begin := max(first.Hop, first.slotWait(), first.backlogTime())
	// firstPass is when a stage has completed its first pass over the prompt, and read its last.
	firstPass, read := begin+first.passTime(pass, promptTokens), begin+first.readTime(promptTokens)
	event, hops := first.eventTime(pass), 0.0
	for _, s := range stages[1:] {
		begin = max(firstPass+s.Hop, s.backlogTime())
		firstPass = begin + s.passTime(pass, promptTokens)
		read = max(read+s.Hop+s.passTime(pass, promptTokens), begin+s.readTime(promptTokens))
		event += s.eventTime(pass)
		hops += s.Hop
	}
	// Each token of the event passes all engines and returns to the first one, which sends the
	// event to the node. The way back counts like the way of the request to the first engine.
	if len(stages) > 1 {
		hops += first.Hop
	}
	return read + event + pass.DecodeSteps*hops + first.Hop
}

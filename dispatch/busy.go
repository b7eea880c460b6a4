package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// initialStreamTime stands in for how long a stream lasts until that is known, in ms.
	initialStreamTime = 3000.0
	// streamTimeWeight is the weight of a new reading in the mean time of streams.
	streamTimeWeight = 0.05
	// batchShare is the part of an engine's streams that is in its batch at a time; the
	// others are at other stages of their chains.
	batchShare = 0.5
)

// recordStreamTime takes in how long a stream has lasted.
func (m *Model) recordStreamTime(took clock.Millis) {
	m.meanStreamTime += streamTimeWeight * (float64(took) - m.meanStreamTime)
}

// promptLoad is the part of the prompts that an engine can read in time which it gets, as
// far as its memory in use tells: streams that last for so long have come at such a
// rate.
func (m *Model) promptLoad(u *upstream, free float64) float64 {
	layers := u.entry.Held.Len()
	used := u.memory - free
	kind, known := u.pipeline.Accelerators[u.entry.Accelerator]
	if !known || layers == 0 || used <= 0 {
		return 0
	}
	prompt, answer := u.pipeline.MeanTokens()
	streams := used / (prompt + answerMemoryShare*answer) / float64(layers)
	return streams / m.meanStreamTime * max(u.slowdown, 1) / u.pipeline.PromptRate(kind, layers, batchShare*streams)
}

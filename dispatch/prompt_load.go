package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// initialStreamTime is the assumed mean duration of streams before the first one ends, in ms.
	initialStreamTime = 3000.0
	// streamTimeWeight is the weight of a new sample in the moving average of stream durations.
	streamTimeWeight = 0.05
	// batchShare is the share of an engine's streams that are in its batch at a time; the others
	// are at other stages of their chains.
	batchShare = 0.5
)

// recordStreamTime adds a sample to the moving average of stream durations.
func (m *Model) recordStreamTime(duration clock.Millis) {
	m.meanStreamTime += streamTimeWeight * (float64(duration) - m.meanStreamTime)
}

// promptLoad estimates the ratio of the prompts that an engine receives to those that it can read
// in time. The rate of prompts follows from the memory in use and the mean duration of streams.
func (m *Model) promptLoad(u *upstream, free float64) float64 {
	layers := u.entry.Held.Len()
	usedMemory := u.memory - free
	accelerator, known := u.pipeline.Accelerators[u.entry.Accelerator]
	if !known || layers == 0 || usedMemory <= 0 {
		return 0
	}
	streams := u.estimatedStreams(free)
	return streams / m.meanStreamTime * max(u.slowdown, 1) / u.pipeline.PromptRate(accelerator, layers, batchShare*streams)
}

// estimatedStreams estimates the streams on an engine from its memory in use. The engine must hold
// layers.
func (u *upstream) estimatedStreams(free float64) float64 {
	prompt, answer := u.pipeline.MeanTokens()
	return max(0, u.memory-free) / (prompt + answerMemoryShare*answer) / float64(u.entry.Held.Len())
}

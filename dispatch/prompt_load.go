package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// initialStreamTime is the assumed mean duration of streams before the first one ends, in ms.
	initialStreamTime = 3000.0
	// streamTimeWeight is the weight of a new sample in the moving averages of stream durations and
	// lengths.
	streamTimeWeight = 0.05
	// batchShare is the share of an engine's streams that are in its batch at a time; the others
	// are at other stages of their chains.
	batchShare = 0.5
)

// recordStream adds a stream to the moving averages of durations and of expected lengths.
func (m *Model) recordStream(duration clock.Millis, answerTokens float64) {
	m.meanStreamTime += streamTimeWeight * (float64(duration) - m.meanStreamTime)
	if m.meanAnswerTokens == 0 {
		m.meanAnswerTokens = answerTokens
	}
	m.meanAnswerTokens += streamTimeWeight * (answerTokens - m.meanAnswerTokens)
}

// promptLoad estimates the ratio of the prompts that an engine receives to those that it can read
// in time. The rate of prompts follows from the memory in use and the mean duration of streams.
func (m *Model) promptLoad(u *upstream, free float64) float64 {
	layers := u.held().Len()
	streams := u.streams(u.memory - free)
	accelerator, known := u.pipeline.Accelerators[u.entry.Accelerator]
	if !known || streams <= 0 {
		return 0
	}
	return streams / m.meanStreamTime * max(u.slowdown, 1) / u.pipeline.PromptRate(accelerator, layers, batchShare*streams)
}

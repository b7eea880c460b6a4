package forecast

import "github.com/hoistjunction/hoistjunction/catalog"

// Stage is what is known of one engine of a chain. All times are in ms.
type Stage struct {
	// StepTime is the time to generate one token through the layers of the stage with one stream
	// in the batch, and ReadTime the time to read one prompt token through them.
	StepTime float64
	ReadTime float64
	// Slowdown is the measured ratio of the engine's times to the normal ones. Values below 1
	// count as 1.
	Slowdown float64
	// WaitingTokens is the number of prompt tokens of other streams that the engine has not read
	// yet.
	WaitingTokens float64
	// Batch is the mean number of other streams in the engine's batch.
	Batch float64
	// Hop is the network time from the previous engine, or from the node to the first engine.
	Hop float64
	// Streams is the number of other streams that begin at the engine, including those that wait
	// for a slot. Slots is how many of them it processes at a time; zero for no bound. StreamTime
	// is the mean duration of a stream. Only the first stage of a chain needs a slot.
	Streams    int
	Slots      int
	StreamTime float64
}

// slowed returns a time at the engine's measured speed.
func (s Stage) slowed(time float64) float64 { return time * max(s.Slowdown, 1) }

// readTime returns the time to read prompt tokens. The tokens that the engine generates for other
// streams in the same passes are not added, since engines read while they decode.
func (s Stage) readTime(tokens float64) float64 { return s.slowed(tokens * s.ReadTime) }

// backlogTime returns the time to read the waiting prompts.
func (s Stage) backlogTime() float64 { return s.readTime(s.WaitingTokens) }

// passTime returns the time of one of the passes that read a prompt.
func (s Stage) passTime(pass catalog.Pass, tokens float64) float64 {
	if pass.MaxPromptTokens > 0 {
		tokens = min(tokens, pass.MaxPromptTokens)
	}
	return s.readTime(tokens)
}

// eventTime returns the time of the pass that generates the first event, as a part of the batch.
func (s Stage) eventTime(pass catalog.Pass) float64 {
	return s.slowed(pass.DecodeSteps * s.StepTime * (1 + pass.StreamSlowdown*s.Batch))
}

// slotWait returns the time until the engine has a free slot. Streams end at even intervals on
// average, and those that wait already get the first slots.
func (s Stage) slotWait() float64 {
	if s.Slots <= 0 || s.Streams < s.Slots {
		return 0
	}
	return float64(s.Streams-s.Slots+1) * s.StreamTime / float64(s.Slots)
}

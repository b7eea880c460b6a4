package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// firstLasts stands in for how long a stream lasts until that is known, in ms.
	firstLasts = 3000.0
	// lastsWeight is the weight of a new reading in the mean time of streams.
	lastsWeight = 0.05
	// inBatch is the part of an engine's streams that is in its batch at a time; the
	// others are at other stages of their chains.
	inBatch = 0.5
)

// noteLasts takes in how long a stream has lasted.
func (m *Model) noteLasts(took clock.Millis) {
	m.lasts += lastsWeight * (float64(took) - m.lasts)
}

// busy is the part of the prompts that an engine can read in time which it gets, as
// far as its memory in use tells: streams that last for so long have come at such a
// rate.
func (m *Model) busy(u *upstream, free float64) float64 {
	layers := u.entry.Held.Len()
	used := u.room - free
	kind, known := u.pipeline.Accelerators[u.entry.Accelerator]
	if !known || layers == 0 || used <= 0 {
		return 0
	}
	prompt, answer := u.pipeline.MeanTokens()
	streams := used / (prompt + answerHeld*answer) / float64(layers)
	return streams / m.lasts * max(u.pace, 1) / u.pipeline.PromptRate(kind, layers, inBatch*streams)
}

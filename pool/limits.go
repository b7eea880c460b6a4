package pool

import "github.com/hoistjunction/hoistjunction/clock"

// Limits holds the constants by which an upstream's limit moves.
type Limits struct {
	// Start is the limit of an upstream that is new or has come back.
	Start float64
	// Least and Most bound every limit.
	Least float64
	Most  float64
	// Step is added to the limit after a good window.
	Step float64
	// Ahead is the factor after a good window while no bound has been missed.
	Ahead float64
	// Back is the factor after a missed bound.
	Back float64
	// InUse is the share of the limit that must be taken for it to grow.
	InUse float64
	// Over is how far work that is half done may stretch a limit.
	Over float64
	// Aim is the share of the bound that answers should take at the most.
	Aim float64
	// MayMiss is the share of answers that may take longer.
	MayMiss float64
	// Enough is how many answers a window must hold at least.
	Enough int
	// Window is the least time between two moves of a limit.
	Window clock.Millis
	// Ejection is how long the first failure takes an upstream out.
	Ejection clock.Millis
	// LongestEjection bounds the doubling.
	LongestEjection clock.Millis
	// MostOut is the share of a group that soft failures may take out.
	MostOut float64
	// Unlisted is how long an upstream may be missing from the list.
	Unlisted clock.Millis
	// SmallStep is the most positions of a step that counts as a decode step.
	SmallStep int
}

// DefaultLimits returns constants that need no tuning: they only set how fast
// the limits follow the bound, not where they end up.
func DefaultLimits() Limits {
	return Limits{
		Start:           4,
		Least:           1,
		Most:            4096,
		Step:            1,
		Ahead:           1.5,
		Back:            0.85,
		InUse:           0.8,
		Over:            2,
		Aim:             0.9,
		MayMiss:         0.02,
		Enough:          20,
		Window:          150,
		Ejection:        250,
		LongestEjection: 10_000,
		MostOut:         0.5,
		Unlisted:        300_000,
		SmallStep:       4,
	}
}

package pool

import "github.com/hoistjunction/hoistjunction/clock"

// Limits holds the constants by which an upstream's limit moves.
type Limits struct {
	// Start is the limit of an upstream that is new or has come back.
	Start float64
	// Min and Most bound every limit.
	Min float64
	Max float64
	// Increment is added to the limit after a good window.
	Increment float64
	// SlowStartFactor is the factor after a good window while no bound has been missed.
	SlowStartFactor float64
	// DecreaseFactor is the factor after a missed bound.
	DecreaseFactor float64
	// MinUtilization is the share of the limit that must be taken for it to grow.
	MinUtilization float64
	// OverLimitFactor is how far work that is half done may stretch a limit.
	OverLimitFactor float64
	// TargetShare is the share of the bound that answers should take at the most.
	TargetShare float64
	// MaxMissShare is the share of answers that may take longer.
	MaxMissShare float64
	// MinAnswers is how many answers a window must hold at least.
	MinAnswers int
	// Window is the least time between two moves of a limit.
	Window clock.Millis
	// BaseEjection is how long the first failure takes an upstream out.
	BaseEjection clock.Millis
	// MaxEjection bounds the doubling.
	MaxEjection clock.Millis
	// MaxEjectedShare is the share of a group that soft failures may take out.
	MaxEjectedShare float64
	// UnlistedTimeout is how long an upstream may be missing from the list.
	UnlistedTimeout clock.Millis
	// MaxDecodePositions is the most positions of a step that counts as a decode step.
	MaxDecodePositions int
}

// DefaultLimits returns constants that need no tuning: they only set how fast
// the limits follow the bound, not where they end up.
func DefaultLimits() Limits {
	return Limits{
		Start:              4,
		Min:                1,
		Max:                4096,
		Increment:          1,
		SlowStartFactor:    1.5,
		DecreaseFactor:     0.85,
		MinUtilization:     0.8,
		OverLimitFactor:    2,
		TargetShare:        0.9,
		MaxMissShare:       0.02,
		MinAnswers:         20,
		Window:             150,
		BaseEjection:       250,
		MaxEjection:        10_000,
		MaxEjectedShare:    0.5,
		UnlistedTimeout:    300_000,
		MaxDecodePositions: 4,
	}
}

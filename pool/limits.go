package pool

import "github.com/hoistjunction/hoistjunction/clock"

// Limits holds the parameters of ejection and of the adaptive concurrency limit
// of an upstream: how many requests this node may have in flight at it.
type Limits struct {
	// Start is the initial limit of an upstream that is new, restarted or available
	// again after an ejection.
	Start float64
	// Min and Max bound every limit.
	Min float64
	Max float64
	// Increment is added to the limit after a window with few late responses.
	Increment float64
	// SlowStartFactor multiplies the limit after a window with few late responses
	// during slow start, that is, until the first window with too many of them.
	SlowStartFactor float64
	// DecreaseFactor multiplies the limit after a window with too many late responses.
	DecreaseFactor float64
	// MinUtilization is the share of the limit that must have been in use for the
	// limit to increase.
	MinUtilization float64
	// OverLimitFactor multiplies the limit for a request that is already in progress.
	OverLimitFactor float64
	// TargetShare is the share of the latency bound that a response may take before
	// it counts as late.
	TargetShare float64
	// MaxMissShare is the share of responses in a window that may be late.
	MaxMissShare float64
	// MinAnswers is the minimum number of responses in a window.
	MinAnswers int
	// Window is the minimum time between two changes of a limit.
	Window clock.Millis
	// BaseEjection is the ejection period after the first failure.
	BaseEjection clock.Millis
	// MaxEjection bounds the ejection period, which doubles with each consecutive
	// failure.
	MaxEjection clock.Millis
	// MaxEjectedShare is the share of a group up to which soft failures may eject
	// upstreams.
	MaxEjectedShare float64
	// UnlistedTimeout is how long an idle upstream may be missing from the list of VMs
	// before it is removed.
	UnlistedTimeout clock.Millis
	// MaxDecodePositions is the maximum number of positions in a step that counts as
	// a decode step. A step with more positions counts as prefill.
	MaxDecodePositions int
}

// DefaultLimits returns parameters that need no tuning: they set how fast the
// limits follow the latency bound, not the values at which the limits settle.
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

package core

import "github.com/hoistjunction/hoistjunction/clock"

// Policy sets how requests are admitted, ordered and retried. The zero value behaves like a plain
// proxy. DefaultPolicy returns the values that performed best in measurements.
type Policy struct {
	// Predict refuses a request at once when it is predicted to miss its bound.
	Predict bool
	// Fair orders the queue by priority and by weighted shares of the accounts. Without it the
	// order is by arrival.
	Fair bool
	// Adapt changes the limits of upstreams so that steps meet their bound. Without it they stay at
	// FixedLimit.
	Adapt bool
	// FixedLimit is the limit of requests in flight at an upstream when Adapt is off.
	FixedLimit float64
	// Affinity prefers upstreams that have a prompt's prefix cached.
	Affinity bool
	// Margin is the fraction of the bound that a predicted time may use.
	Margin float64
	// MaxQueue bounds the number of requests in the queue of one lane.
	MaxQueue int
	// MaxGenerations bounds how many times the answer of a pipeline request is started or resumed.
	MaxGenerations uint32
	// MaxCalls bounds the attempts of a call to a plain service.
	MaxCalls uint32
	// Budget bounds retries to a share of the traffic.
	Budget bool
	// LeastStepLimit is the shortest timeout of a step, in ms.
	LeastStepLimit clock.Millis
	// StepLimitFactor is the ratio of a step's timeout to its average time.
	StepLimitFactor float64
}

// DefaultPolicy returns the policy for production use.
func DefaultPolicy() Policy {
	return Policy{
		Predict:         true,
		Fair:            true,
		Adapt:           true,
		FixedLimit:      64,
		Affinity:        true,
		Margin:          0.9,
		MaxQueue:        4096,
		MaxGenerations:  6,
		MaxCalls:        3,
		Budget:          true,
		LeastStepLimit:  400,
		StepLimitFactor: 8,
	}
}

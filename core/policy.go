package core

import "github.com/hoistjunction/hoistjunction/clock"

// Policy is how requests are admitted, ordered and retried. The zero value is
// what a plain proxy does; DefaultPolicy is what the measurements speak for.
type Policy struct {
	// Predict refuses at once what is not expected to meet its bound.
	Predict bool
	// Fair orders by priority and weighted shares; without it, by arrival.
	Fair bool
	// Adapt moves upstreams' limits so that steps meet their bound; without
	// it they stay at FixedLimit.
	Adapt bool
	// FixedLimit is the limit of an upstream that is not adapted.
	FixedLimit float64
	// Affinity prefers the upstreams that have a prompt's prefix cached.
	Affinity bool
	// Margin is the share of the bound that a prediction may fill.
	Margin float64
	// MaxQueue bounds the requests that wait for one lane.
	MaxQueue int
	// MaxGenerations bounds how often a pipeline's answer is resumed.
	MaxGenerations uint32
	// MaxCalls bounds how often a plain call is tried.
	MaxCalls uint32
	// Budget bounds retries to a share of the traffic.
	Budget bool
	// LeastStepLimit is the shortest time after which an unanswered step is
	// taken for lost.
	LeastStepLimit clock.Millis
	// StepLimitFactor stretches a step's usual time to that limit.
	StepLimitFactor float64
}

// DefaultPolicy returns the policy that needs no tuning.
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

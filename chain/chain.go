// Package chain chooses the engines that a request passes through, and the layers that each of
// them executes.
//
// A chain executes every layer exactly once, in order, and uses no engine twice. The builder
// returns the cheapest such chain. The cost consists of the time per token at each stage, the hops
// between stages, the passes between data centres, and the load of the engines.
//
//	stages, err := chain.Build(80, tokens, "dc-1", holders)
package chain

import (
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Errors returned by Build and BuildFrom.
var (
	// ErrNoHolder means that no usable engine holds some layer.
	ErrNoHolder = errors.New("chain: no usable engine holds some layer")
	// ErrNoMemory means that the engines that hold some layer have insufficient free memory for
	// the request.
	ErrNoMemory = errors.New("chain: insufficient free memory for the request")
)

// Holder is an engine that may be used in a chain.
type Holder struct {
	ID         fleet.Incarnation
	Address    string
	DataCentre string
	Held       fleet.LayerRange
	// LayerTime is the time to generate one token in one layer, in milliseconds.
	LayerTime float64
	// FreeMemory is the memory available for requests, and TotalMemory the whole memory for
	// requests, in tokens times layers.
	FreeMemory  float64
	TotalMemory float64
	// PromptLoad is the rate of prompts that the engine gets, divided by the rate that it can
	// process. Above 1, the queue of prompts grows.
	PromptLoad float64
	// EntryCost is added to the cost of a chain that begins with this engine, in milliseconds per
	// token. An engine serves a limited number of requests as their first stage.
	EntryCost float64
	// Penalty is added to the cost of each stage on this engine, in milliseconds per token, so
	// that other engines are preferred.
	Penalty float64
}

// Stage is an engine and the layers that it executes.
type Stage struct {
	ID      fleet.Incarnation
	Address string
	Layers  fleet.LayerRange
}

// Cost weights in milliseconds per token.
const (
	// hopCost is the cost of a pass from one engine to the next within a data centre: 0.2 ms on
	// the network plus the overhead of the pass.
	hopCost = 0.4
	// crossingCost is the cost of a pass to another data centre. The delay is below 1 ms. The rest
	// protects the shared links: if all prompts of a data centre cross once, they use half of a
	// link (docs/PLATFORM.md).
	crossingCost = 20.0
	// remoteEntryCost is the cost of a first stage in another data centre: the delay of each token
	// and the traffic in addition to the stream's events. Prompt activations do not cross then.
	remoteEntryCost = 10.0
	// fullLoadCost is the cost of an engine at full load of memory or prompts. It is scaled by the
	// fourth power of the load, so that slower engines with free capacity are chosen before an
	// engine is full. An engine that runs out of memory preempts requests in the middle of their
	// streams. With 20, requests used slow engines too early and occupied memory for longer
	// (docs/CUSTOMER.md).
	fullLoadCost = 8.0
	// memoryReserve is the share of an engine's memory that is kept free for requests that grow
	// beyond their expected length.
	memoryReserve = 0.06
)

// Build returns the cheapest chain over all layers for a request with the given number of tokens
// that enters at the data centre origin.
func Build(layers int, tokens float64, origin string, holders []Holder) ([]Stage, error) {
	return BuildFrom(0, layers, tokens, origin, holders)
}

// BuildLocal returns the cheapest chain over the holders of the origin's data centre if it costs
// less than any chain that uses another data centre, so that other engines need not be considered.
// holders contains only engines of that data centre. fastest is the time to generate one token in
// all layers on the fastest engine of all data centres, in milliseconds.
func BuildLocal(layers int, tokens float64, origin string, holders []Holder, fastest float64) (stages []Stage, ok bool) {
	b := newBuilder(0, layers, tokens, origin, holders)
	stages, cost := b.best()
	return stages, stages != nil && cost < remoteEntryCost+fastest
}

// BuildFrom returns the cheapest chain over the layers from the given one to the last.
func BuildFrom(from, layers int, tokens float64, origin string, holders []Holder) ([]Stage, error) {
	if from == layers {
		return nil, nil
	}
	b := newBuilder(from, layers, tokens, origin, holders)
	stages, _ := b.best()
	if stages != nil {
		return stages, nil
	}
	if b.outOfMemory {
		return nil, ErrNoMemory
	}
	return nil, ErrNoHolder
}

// Valid reports whether the stages execute each layer exactly once and in order, without using an
// engine twice.
func Valid(layers int, stages []Stage) bool { return validFrom(0, layers, stages) }

func validFrom(from, layers int, stages []Stage) bool {
	next := from
	seen := make(map[fleet.Incarnation]bool, len(stages))
	for _, p := range stages {
		if p.Layers.From != next || p.Layers.Empty() || seen[p.ID] {
			return false
		}
		seen[p.ID] = true
		next = p.Layers.To
	}
	return next == layers
}

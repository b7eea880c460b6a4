// Package chain chooses which engines a request passes, and which layers each
// of them runs.
//
// A chain runs every layer exactly once, in order, and names no engine twice.
// Among all such chains the builder takes the cheapest, by the time of a token
// at each stage, the hops between stages, the crossings between data centres
// and how full the engines' memory is.
//
//	parts, err := chain.Build(80, tokens, "dc-1", holders)
package chain

import (
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Errors that callers test for with errors.Is.
var (
	// ErrNoHolder means that some layer has no engine that may be used.
	ErrNoHolder = errors.New("chain: a layer has no engine")
	// ErrNoMemory means that the engines of some layer lack memory for the
	// request.
	ErrNoMemory = errors.New("chain: no memory left for the request")
)

// Holder is an engine that may take part in a chain.
type Holder struct {
	ID         fleet.Incarnation
	Address    string
	DataCentre string
	Held       fleet.LayerRange
	// LayerTime is the time of one token through one layer, in ms.
	LayerTime float64
	// FreeMemory is the memory left for requests, and Total all of it, in tokens
	// times layers.
	FreeMemory  float64
	TotalMemory float64
	// PromptLoad is the part of the prompts that it can read in time which it gets; over
	// one, prompts wait there ever longer.
	PromptLoad float64
	// EntryCost is added to the cost of a chain that begins with this engine, in ms for each
	// token: it works on a bounded number of those.
	EntryCost float64
	// Penalty is added to the cost of each part on this engine, in ms for each
	// token. It speaks for avoiding the engine where there is another.
	Penalty float64
}

// Stage is a stage of a chain: an engine and the layers that it runs.
type Stage struct {
	ID      fleet.Incarnation
	Address string
	Layers  fleet.LayerRange
}

// Weights of the cost, in ms for each token.
const (
	// hopCost is a pass from one engine to the next inside a data centre: 0.2
	// ms on the way and some for the pass itself.
	hopCost = 0.4
	// crossingCost is a pass to another data centre. The delay is under 1 ms;
	// the rest speaks for the shared pipes, which one crossing of all of a data
	// centre's prompts fills by half (docs/PLATFORM.md).
	crossingCost = 20.0
	// remoteEntryCost is for beginning in another data centre: its delay at each token, and
	// for what crosses beside the events of the stream. No prompt does.
	remoteEntryCost = 10.0
	// fullLoadCost is added for an engine whose memory is full, or that gets as many
	// prompts as it can read, and less by the fourth power of that part: a slower
	// engine with memory and time left takes over before. An engine that runs out of
	// memory puts requests back in the middle of their streams. With 20, requests
	// went over slow engines too soon, and held memory for longer
	// (docs/CUSTOMER.md).
	fullLoadCost = 8.0
	// memoryReserve is the part of an engine's memory that is left free, for
	// requests that grow beyond what was expected of them.
	memoryReserve = 0.06
)

// Build returns the cheapest chain over all layers for a request of so many
// tokens that enters at a data centre.
func Build(layers int, tokens float64, origin string, holders []Holder) ([]Stage, error) {
	return BuildFrom(0, layers, tokens, origin, holders)
}

// BuildLocal returns the cheapest chain over the holders of the origin's data centre,
// if it costs less than any that leaves it: then the others need not be looked at. The
// holders are those of the data centre alone; fastest is the time of a token through all
// layers on the fastest engine anywhere, in ms.
func BuildLocal(layers int, tokens float64, origin string, holders []Holder, fastest float64) (parts []Stage, ok bool) {
	b := newBuilder(0, layers, tokens, origin, holders)
	parts, cost := b.best()
	return parts, parts != nil && cost < remoteEntryCost+fastest
}

// BuildFrom is Build for the layers from a given one on.
func BuildFrom(from, layers int, tokens float64, origin string, holders []Holder) ([]Stage, error) {
	if from == layers {
		return nil, nil
	}
	b := newBuilder(from, layers, tokens, origin, holders)
	parts, _ := b.best()
	if parts != nil {
		return parts, nil
	}
	if b.outOfMemory {
		return nil, ErrNoMemory
	}
	return nil, ErrNoHolder
}

// Valid tells whether parts run each of the layers once and in order, without
// naming an engine twice.
func Valid(layers int, parts []Stage) bool { return validFrom(0, layers, parts) }

func validFrom(from, layers int, parts []Stage) bool {
	next := from
	seen := make(map[fleet.Incarnation]bool, len(parts))
	for _, p := range parts {
		if p.Layers.From != next || p.Layers.Empty() || seen[p.ID] {
			return false
		}
		seen[p.ID] = true
		next = p.Layers.To
	}
	return next == layers
}

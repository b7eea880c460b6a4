package placement

import (
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Parameters of a layout's value.
const (
	// uncoveredPenalty is subtracted for each layer without a holder in the data centre. It
	// outweighs every other difference between layouts.
	uncoveredPenalty = 10.0
	// crashInterval is the assumed time between two crashes of an engine, in milliseconds. It
	// determines how second holders are weighed against memory for requests. Of 50, 100, 180 and
	// 300 s, this value served the most requests over three deployments together
	// (docs/CUSTOMER.md).
	crashInterval = 100_000.0
	// defaultDemandShare is the assumed demand of a data centre while the real demand is unknown,
	// as a share of its maximum rate without crashes. Fleets are sized so that, in the busiest
	// hour and after a crash of one engine, as much capacity as is in use is still free.
	defaultDemandShare = 0.4
)

// layout is an assignment of layer ranges to the engines of one data centre, with the data to
// evaluate it. It is not safe for concurrent use.
type layout struct {
	shape Shape
	// engines is sorted by compareBySpeed; ranges holds the range of each engine.
	engines []*Engine
	ranges  []fleet.LayerRange

	// The following slices are indexed by layer: the request tokens that fit into the memory of
	// the layer's holders, the prompts that the holders process per millisecond, the number of
	// holders, the sum of the holders' indexes in engines (the index itself if there is one
	// holder), and the request tokens that streamDuration has allocated so far.
	layerCapacity   []float64
	promptRates     []float64
	holderCounts    []int
	holderIndexSums []int
	allocated       []float64
	// soleLayers is the number of layers without another holder, by engine index.
	soleLayers []int
	// demand is the required rate in streams per millisecond.
	demand float64
	// evaluatedEngines counts the engines visited by all evaluations. Tests use it to bound the
	// cost of a plan.
	evaluatedEngines int
}

// newLayout returns a layout of a data centre's engines with their current or ordered ranges.
func newLayout(shape Shape, engines []*Engine) *layout {
	l := &layout{
		shape: shape, engines: slices.Clone(engines), ranges: make([]fleet.LayerRange, len(engines)),
		layerCapacity: make([]float64, shape.Layers), promptRates: make([]float64, shape.Layers), holderCounts: make([]int, shape.Layers),
		holderIndexSums: make([]int, shape.Layers), allocated: make([]float64, shape.Layers), soleLayers: make([]int, len(engines)),
	}
	slices.SortStableFunc(l.engines, compareBySpeed)
	l.demand = defaultDemandShare * l.maxRate()
	for i, e := range l.engines {
		l.ranges[i] = e.assigned()
	}
	return l
}

// maxRate returns the highest rate, in streams per millisecond, that the data centre supports
// without crashes. It compares the layouts that fill all engines to the same share.
func (l *layout) maxRate() float64 {
	highest := 0.0
	for _, fill := range searchFills {
		l.spread(fill)
		if l.countHolders() > 0 {
			continue
		}
		if capacity := l.requestCapacity(); capacity > 0 {
			highest = max(highest, l.streamRate(capacity))
		}
	}
	return highest
}

// engineTokens returns how many request tokens fit into an engine's memory at each of its layers.
func (l *layout) engineTokens(i int) float64 {
	n := float64(l.ranges[i].Len())
	return max(0, l.engines[i].MemoryLayers-n) * l.shape.LayerTokens / n
}

// value returns approximately the logarithm of the share of requests that the data centre serves,
// minus the share expected to be lost while crashed engines are replaced, minus uncoveredPenalty
// for each layer without a holder. It is never positive.
func (l *layout) value() float64 {
	l.evaluatedEngines += len(l.engines)
	missing := l.countHolders()
	capacity := l.requestCapacity()
	if capacity <= 0 {
		return -uncoveredPenalty * float64(l.shape.Layers+missing)
	}
	rate := l.streamRate(capacity)
	return l.logServedShare(rate) - l.expectedCrashLoss(capacity, rate)/crashInterval - uncoveredPenalty*float64(missing)
}

// logServedShare returns the logarithm of the share of requests that is served at a rate. The
// function is smooth around the demand because requests arrive unevenly and differ in size.
func (l *layout) logServedShare(rate float64) float64 {
	if rate <= 0 {
		return -uncoveredPenalty
	}
	loadRatio := l.demand / rate
	return -math.Log1p(loadRatio*loadRatio*loadRatio) / 3
}

// countHolders recomputes the slices that are indexed by layer and returns the number of layers
// without a holder.
func (l *layout) countHolders() int {
	clear(l.layerCapacity)
	clear(l.promptRates)
	clear(l.holderCounts)
	clear(l.holderIndexSums)
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		tokens, prompts := l.engineTokens(i), l.promptRate(i)
		for layer := r.From; layer < r.To; layer++ {
			l.layerCapacity[layer] += tokens
			l.promptRates[layer] += prompts
			l.holderCounts[layer]++
			l.holderIndexSums[layer] += i
		}
	}
	missing := 0
	for _, n := range l.holderCounts {
		if n == 0 {
			missing++
		}
	}
	return missing
}

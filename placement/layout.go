package placement

import (
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Figures of what a layout is worth.
const (
	// uncoveredPenalty is taken off for each layer without a holder in the data centre. It
	// outweighs all that a layout can gain otherwise.
	uncoveredPenalty = 10.0
	// crashInterval is how long an engine is planned to last, in ms. It weighs second
	// holders against memory for requests. Of 50, 100, 180 and 300 s it is the one
	// that served best on three deployments together (docs/CUSTOMER.md).
	crashInterval = 100_000.0
	// defaultDemandShare is the part of the most that a data centre could bear, with no
	// thought for losses, which it is planned for while its demand is not known:
	// fleets are sized so that the busiest hour and the loss of an engine leave as
	// much again.
	defaultDemandShare = 0.4
)

// layout is what the engines of one data centre hold, and weighs it. It is not
// safe for concurrent use.
type layout struct {
	shape Shape
	// engines are the fast ones first, and ranges what each of them holds.
	engines []*Engine
	ranges  []fleet.LayerRange

	// By layer: capacity is the tokens of requests that its holders have memory for,
	// reads the prompts that they read in a ms, holders how many they are, places the
	// sum of their places (the place itself where there is one), and given the tokens
	// that are shared out among them so far.
	layerCapacity   []float64
	promptRates     []float64
	holderCounts    []int
	holderIndexSums []int
	allocated       []float64
	// soleLayers is by engine: how many layers it holds alone.
	soleLayers []int
	// demand is how many streams a ms are to be borne.
	demand float64
	// evaluatedEngines counts the engines that have been looked at for values.
	evaluatedEngines int
}

// newLayout returns a layout of a data centre's engines with what they hold or
// will hold.
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

// maxRate is how many streams a ms the data centre bears at the most, whatever
// happens when engines are lost: of layouts that fill all engines in the same part.
func (l *layout) maxRate() float64 {
	most := 0.0
	for _, fill := range searchFills {
		l.spread(fill)
		if l.countHolders() > 0 {
			continue
		}
		if room := l.requestCapacity(); room > 0 {
			most = max(most, l.streamRate(room))
		}
	}
	return most
}

// engineTokens returns how many tokens of requests an engine has memory for at each of
// its layers.
func (l *layout) engineTokens(i int) float64 {
	n := float64(l.ranges[i].Len())
	return max(0, l.engines[i].MemoryLayers-n) * l.shape.LayerTokens / n
}

// value is about the logarithm of the share of its requests that the data centre
// serves, less what it is expected to lose of that while engines are replaced, and
// less uncovered for each layer without a holder. It is never over zero.
func (l *layout) value() float64 {
	l.evaluatedEngines += len(l.engines)
	missing := l.countHolders()
	room := l.requestCapacity()
	if room <= 0 {
		return -uncoveredPenalty * float64(l.shape.Layers+missing)
	}
	rate := l.streamRate(room)
	return l.logServedShare(rate) - l.expectedCrashLoss(room, rate)/crashInterval - uncoveredPenalty*float64(missing)
}

// logServedShare is the logarithm of the share of requests that is served at a rate. It
// has no edge at the demand: requests come unevenly, in sizes that differ.
func (l *layout) logServedShare(rate float64) float64 {
	if rate <= 0 {
		return -uncoveredPenalty
	}
	lack := l.demand / rate
	return -math.Log1p(lack*lack*lack) / 3
}

// countHolders fills in what is kept by layer, and returns how many layers have no
// holder.
func (l *layout) countHolders() int {
	clear(l.layerCapacity)
	clear(l.promptRates)
	clear(l.holderCounts)
	clear(l.holderIndexSums)
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		share, reads := l.engineTokens(i), l.promptRate(i)
		for layer := r.From; layer < r.To; layer++ {
			l.layerCapacity[layer] += share
			l.promptRates[layer] += reads
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

package placement

import (
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Figures of what a layout is worth.
const (
	// uncovered is taken off for each layer without a holder in the data centre. It
	// outweighs all that a layout can gain otherwise.
	uncovered = 10.0
	// lossEvery is how long an engine is planned to last, in ms. It weighs second
	// holders against memory for requests. Of 50, 100, 180 and 300 s it is the one
	// that served best on three deployments together (docs/CUSTOMER.md).
	lossEvery = 100_000.0
	// usualDemand is the part of the most that a data centre could bear, with no
	// thought for losses, which it is planned for while its demand is not known:
	// fleets are sized so that the busiest hour and the loss of an engine leave as
	// much again.
	usualDemand = 0.4
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
	capacity []float64
	reads    []float64
	holders  []int
	places   []int
	given    []float64
	// solo is by engine: how many layers it holds alone.
	solo []int
	// demand is how many streams a ms are to be borne.
	demand float64
	// weighed counts the engines that have been looked at for values.
	weighed int
}

// newLayout returns a layout of a data centre's engines with what they hold or
// will hold.
func newLayout(shape Shape, engines []*Engine) *layout {
	l := &layout{
		shape: shape, engines: slices.Clone(engines), ranges: make([]fleet.LayerRange, len(engines)),
		capacity: make([]float64, shape.Layers), reads: make([]float64, shape.Layers), holders: make([]int, shape.Layers),
		places: make([]int, shape.Layers), given: make([]float64, shape.Layers), solo: make([]int, len(engines)),
	}
	slices.SortStableFunc(l.engines, fastFirst)
	l.demand = usualDemand * l.mostRate()
	for i, e := range l.engines {
		l.ranges[i] = e.standing()
	}
	return l
}

// mostRate is how many streams a ms the data centre bears at the most, whatever
// happens when engines are lost: of layouts that fill all engines in the same part.
func (l *layout) mostRate() float64 {
	most := 0.0
	for _, fill := range fills {
		l.spread(fill)
		if l.count() > 0 {
			continue
		}
		if room := l.room(); room > 0 {
			most = max(most, l.rate(room))
		}
	}
	return most
}

// share returns how many tokens of requests an engine has memory for at each of
// its layers.
func (l *layout) share(i int) float64 {
	n := float64(l.ranges[i].Len())
	return max(0, l.engines[i].Memory-n) * l.shape.LayerTokens / n
}

// value is about the logarithm of the share of its requests that the data centre
// serves, less what it is expected to lose of that while engines are replaced, and
// less uncovered for each layer without a holder. It is never over zero.
func (l *layout) value() float64 {
	l.weighed += len(l.engines)
	missing := l.count()
	room := l.room()
	if room <= 0 {
		return -uncovered * float64(l.shape.Layers+missing)
	}
	rate := l.rate(room)
	return l.served(rate) - l.losses(room, rate)/lossEvery - uncovered*float64(missing)
}

// served is the logarithm of the share of requests that is served at a rate. It
// has no edge at the demand: requests come unevenly, in sizes that differ.
func (l *layout) served(rate float64) float64 {
	if rate <= 0 {
		return -uncovered
	}
	lack := l.demand / rate
	return -math.Log1p(lack*lack*lack) / 3
}

// count fills in what is kept by layer, and returns how many layers have no
// holder.
func (l *layout) count() int {
	clear(l.capacity)
	clear(l.reads)
	clear(l.holders)
	clear(l.places)
	for i, r := range l.ranges {
		if r.Empty() {
			continue
		}
		share, reads := l.share(i), l.readsInTime(i)
		for layer := r.From; layer < r.To; layer++ {
			l.capacity[layer] += share
			l.reads[layer] += reads
			l.holders[layer]++
			l.places[layer] += i
		}
	}
	missing := 0
	for _, n := range l.holders {
		if n == 0 {
			missing++
		}
	}
	return missing
}

package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// maxSweeps bounds the number of passes over all engines that look for better ranges. The
	// search ends earlier if a pass changes nothing.
	maxSweeps = 6
	// minGain is the minimum gain in value for which a range is changed during a search.
	minGain = 1e-6
	// searchStride is the distance between the ranges tried by tryElsewhere, in layers.
	searchStride = 8
)

// search looks for the layout with the highest value. It spreads the engines at each of
// searchFills and improves the best result.
func (l *layout) search() { l.searchEngines(l.allIndexes()) }

// searchEngines searches ranges for the engines at the given indexes; the other engines keep their
// ranges.
func (l *layout) searchEngines(indexes []int) {
	var best []fleet.LayerRange
	most := 0.0
	for _, fill := range searchFills {
		l.spreadEngines(indexes, fill)
		if v := l.value(); best == nil || v > most {
			best, most = slices.Clone(l.ranges), v
		}
	}
	copy(l.ranges, best)
	l.improve(indexes)
}

// improve changes the ranges of the engines at the given indexes as long as this raises the value,
// for at most maxSweeps passes.
func (l *layout) improve(indexes []int) {
	for range maxSweeps {
		changed := false
		for _, i := range indexes {
			if r, gain := l.bestRange(i); gain > minGain {
				l.ranges[i] = r
				changed = true
			}
		}
		if !changed {
			return
		}
	}
}

// bestRange returns the range for an engine that raises the value most, and the gain. The gain is
// zero if no range raises the value.
func (l *layout) bestRange(i int) (best fleet.LayerRange, most float64) {
	current, base := l.ranges[i], l.value()
	best = current
	try := func(r fleet.LayerRange) {
		if r.Empty() || r.From < 0 || r.To > l.shape.Layers || r.Len() > l.engines[i].LayerCapacity || r == current {
			return
		}
		l.ranges[i] = r
		if gain := l.value() - base; gain > most {
			best, most = r, gain
		}
	}
	l.tryNearby(current, try)
	l.tryElsewhere(current, try)
	l.ranges[i] = current
	return best, most
}

// tryNearby tries to move each end of the range by one layer, and to shift the range by one or two
// layers.
func (l *layout) tryNearby(r fleet.LayerRange, try func(fleet.LayerRange)) {
	for from := -1; from <= 1; from++ {
		for to := -1; to <= 1; to++ {
			try(fleet.LayerRange{From: r.From + from, To: r.To + to})
		}
	}
	try(fleet.LayerRange{From: r.From - 2, To: r.To - 2})
	try(fleet.LayerRange{From: r.From + 2, To: r.To + 2})
}

// tryElsewhere tries ranges of the same length and of half the length throughout the model.
func (l *layout) tryElsewhere(r fleet.LayerRange, try func(fleet.LayerRange)) {
	for _, size := range []int{r.Len(), r.Len() / 2} {
		for from := 0; from+size <= l.shape.Layers; from += searchStride {
			try(fleet.LayerRange{From: from, To: from + size})
		}
		try(fleet.LayerRange{From: l.shape.Layers - size, To: l.shape.Layers})
	}
}

// bestInitialRange returns the range with the highest value for an empty engine.
func (l *layout) bestInitialRange(i int) fleet.LayerRange {
	best, most := fleet.LayerRange{}, l.value()
	tried := 0
	for _, fill := range searchFills {
		size := min(layersAtFill(l.engines[i], fill), l.shape.Layers)
		if size == tried {
			continue
		}
		tried = size
		for from := 0; from+size <= l.shape.Layers; from++ {
			l.ranges[i] = fleet.LayerRange{From: from, To: from + size}
			if v := l.value(); v > most+minGain {
				best, most = l.ranges[i], v
			}
		}
	}
	l.ranges[i] = fleet.LayerRange{}
	return best
}

package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// maxSweeps bounds how often all engines of a data centre are looked at for a
	// better range; a sweep without a change ends the search.
	maxSweeps = 6
	// minGain is the least gain in value for which a range is changed while a
	// first plan is sought.
	minGain = 1e-6
	// searchStride is the step of the ranges that lie elsewhere in the model.
	searchStride = 8
)

// search seeks the best layout: of those that fill engines in the same part, fast ones
// first, the best is improved on.
func (l *layout) search() { l.searchEngines(l.allIndexes()) }

// searchEngines seeks it for some of the engines; the others keep what they have.
func (l *layout) searchEngines(some []int) {
	var best []fleet.LayerRange
	most := 0.0
	for _, fill := range searchFills {
		l.spreadEngines(some, fill)
		if v := l.value(); best == nil || v > most {
			best, most = slices.Clone(l.ranges), v
		}
	}
	copy(l.ranges, best)
	l.improve(some)
}

// improve changes ranges of some engines for as long as each change raises the value,
// within bounds.
func (l *layout) improve(some []int) {
	for range maxSweeps {
		changed := false
		for _, i := range some {
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

// bestRange returns the range for an engine that raises the value most, and by how
// much; that is nothing where none does.
func (l *layout) bestRange(i int) (best fleet.LayerRange, most float64) {
	was, before := l.ranges[i], l.value()
	best = was
	try := func(r fleet.LayerRange) {
		if r.Empty() || r.From < 0 || r.To > l.shape.Layers || r.Len() > l.engines[i].MaxLayers || r == was {
			return
		}
		l.ranges[i] = r
		if gain := l.value() - before; gain > most {
			best, most = r, gain
		}
	}
	l.tryNearby(was, try)
	l.tryElsewhere(was, try)
	l.ranges[i] = was
	return best, most
}

// tryNearby tries a range's ends a layer further in or out, and the range shifted by
// a layer or two.
func (l *layout) tryNearby(r fleet.LayerRange, try func(fleet.LayerRange)) {
	for from := -1; from <= 1; from++ {
		for to := -1; to <= 1; to++ {
			try(fleet.LayerRange{From: r.From + from, To: r.To + to})
		}
	}
	try(fleet.LayerRange{From: r.From - 2, To: r.To - 2})
	try(fleet.LayerRange{From: r.From + 2, To: r.To + 2})
}

// tryElsewhere tries ranges of the same length and of half of it all over the model.
func (l *layout) tryElsewhere(r fleet.LayerRange, try func(fleet.LayerRange)) {
	for _, size := range []int{r.Len(), r.Len() / 2} {
		for from := 0; from+size <= l.shape.Layers; from += searchStride {
			try(fleet.LayerRange{From: from, To: from + size})
		}
		try(fleet.LayerRange{From: l.shape.Layers - size, To: l.shape.Layers})
	}
}

// bestInitialRange returns the range for an empty engine with the highest value.
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

package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Weights of a layer's need for another holder when a layout is spread. The weight of a second
// holder is multiplied by the length of the first holder's range: the more layers a crash leaves
// uncovered, the longer it takes to load them again.
const (
	firstHolderWeight  = 1e5
	secondHolderWeight = 1.0
	extraHolderWeight  = 1e-3
)

// spread assigns to each engine, fastest first, the range of layers with the greatest need for a
// holder. The fill limits the length of the ranges.
func (l *layout) spread(fill float64) { l.spreadEngines(l.allIndexes(), fill) }

// spreadEngines does the same for the engines at the given indexes; the other engines keep their
// ranges.
func (l *layout) spreadEngines(indexes []int, fill float64) {
	spans := make([]int, l.shape.Layers)
	holders := make([]int, l.shape.Layers)
	add := func(r fleet.LayerRange) {
		for layer := r.From; layer < r.To; layer++ {
			holders[layer]++
			spans[layer] += r.Len()
		}
	}
	for i, r := range l.ranges {
		if !slices.Contains(indexes, i) {
			add(r)
		}
	}
	for _, i := range indexes {
		l.ranges[i] = neediestRange(holders, spans, min(layersAtFill(l.engines[i], fill), l.shape.Layers))
		add(l.ranges[i])
	}
}

// allIndexes returns the indexes of all engines.
func (l *layout) allIndexes() []int {
	list := make([]int, len(l.engines))
	for i := range list {
		list[i] = i
	}
	return list
}

// neediestRange returns the range of the given size whose layers have the greatest need for a
// holder.
func neediestRange(holders, spans []int, size int) fleet.LayerRange {
	best, most := fleet.LayerRange{}, 0.0
	for from := 0; from+size <= len(holders); from++ {
		need := 0.0
		for layer := from; layer < from+size; layer++ {
			switch holders[layer] {
			case 0:
				need += firstHolderWeight
			case 1:
				need += secondHolderWeight * float64(spans[layer])
			default:
				need += extraHolderWeight / float64(holders[layer])
			}
		}
		if need > most+1e-9 {
			best, most = fleet.LayerRange{From: from, To: from + size}, need
		}
	}
	return best
}

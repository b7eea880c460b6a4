package placement

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Weights of a layer's need of a holder while a layout is spread. A second holder
// matters more the more layers would be lost with the first, since they take that
// much longer to be loaded again.
const (
	firstHolderWeight  = 1e5
	secondHolderWeight = 1.0
	extraHolderWeight  = 1e-3
)

// spread gives each engine, the fast ones first, the run of layers that needs a
// holder most, as long as the fill lets it be.
func (l *layout) spread(fill float64) { l.spreadEngines(l.allIndexes(), fill) }

// spreadEngines does so with some of the engines; the others keep what they have.
func (l *layout) spreadEngines(some []int, fill float64) {
	spans := make([]int, l.shape.Layers)
	holders := make([]int, l.shape.Layers)
	hold := func(r fleet.LayerRange) {
		for layer := r.From; layer < r.To; layer++ {
			holders[layer]++
			spans[layer] += r.Len()
		}
	}
	for i, r := range l.ranges {
		if !slices.Contains(some, i) {
			hold(r)
		}
	}
	for _, i := range some {
		l.ranges[i] = neediestRange(holders, spans, min(layersAtFill(l.engines[i], fill), l.shape.Layers))
		hold(l.ranges[i])
	}
}

// allIndexes are the places of all engines.
func (l *layout) allIndexes() []int {
	list := make([]int, len(l.engines))
	for i := range list {
		list[i] = i
	}
	return list
}

// neediestRange returns the run of layers of a size whose layers need a holder most.
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

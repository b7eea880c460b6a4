package placement

import "github.com/hoistjunction/hoistjunction/fleet"

// Weights of a layer's need of a holder while a layout is spread. A second holder
// matters more the more layers would be lost with the first, since they take that
// much longer to be loaded again.
const (
	needFirst  = 1e5
	needSecond = 1.0
	needThird  = 1e-3
)

// spread gives each engine, the fast ones first, the run of layers that needs a
// holder most, as long as the fill lets it be.
func (l *layout) spread(fill float64) {
	spans := make([]int, l.shape.Layers)
	holders := make([]int, l.shape.Layers)
	for i, e := range l.engines {
		r := neediest(holders, spans, min(capacity(e, fill), l.shape.Layers))
		l.ranges[i] = r
		for layer := r.From; layer < r.To; layer++ {
			holders[layer]++
			spans[layer] += r.Len()
		}
	}
}

// neediest returns the run of layers of a size whose layers need a holder most.
func neediest(holders, spans []int, size int) fleet.Range {
	best, most := fleet.Range{}, 0.0
	for from := 0; from+size <= len(holders); from++ {
		need := 0.0
		for layer := from; layer < from+size; layer++ {
			switch holders[layer] {
			case 0:
				need += needFirst
			case 1:
				need += needSecond * float64(spans[layer])
			default:
				need += needThird / float64(holders[layer])
			}
		}
		if need > most+1e-9 {
			best, most = fleet.Range{From: from, To: from + size}, need
		}
	}
	return best
}

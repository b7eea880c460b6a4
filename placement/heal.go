package placement

import "github.com/hoistjunction/hoistjunction/fleet"

// healFills are the shares of an engine's memory that layers may take where it is
// moved to close a gap. The first that gives the data centre a whole copy is taken.
var healFills = []float64{0.8, 0.85, 0.9, 0.95, 1}

const (
	// stretchFill is the share of an engine's memory that layers may take
	// where that closes a gap. What it leaves holds some 40 requests.
	stretchFill = 0.93
	// Weights of a move: each layer that it covers counts far more than what it
	// costs, which is the layers to be loaded, second holders that are given up,
	// and memory beyond the usual fill.
	coverGain      = 1000.0
	loadCost       = 1.0
	redundancyCost = 2.0
	stretchCost    = 8.0
	// fastEngineCost is for moving a fast engine; slow ones go first. A layer takes a
	// fast one some fastLayerTime, in ms.
	fastEngineCost = 1.0
	fastLayerTime  = 0.1
)

// heal closes the gaps of a data centre with engines that are in use: each may
// hold another run of layers if what it gives up has another holder. A neighbour
// that takes on a layer or two is loaded in a fraction of a second; an engine
// that can be spared as a whole closes larger gaps.
func (p *plan) heal(centre string) []Order {
	var orders []Order
	fill := p.smallestFill(centre)
	for p.missingLayers(centre, p.allLayers()) > 0 {
		e, r := p.bestMove(centre, fill)
		if e == nil {
			break
		}
		orders = append(orders, p.addOrder(e, r))
	}
	return orders
}

// smallestFill returns the smallest fill that gives the data centre a whole copy,
// and the first where none does.
func (p *plan) smallestFill(centre string) float64 {
	for _, fill := range healFills {
		sum := 0
		for _, e := range p.enginesIn(centre) {
			sum += layersAtFill(e, fill)
		}
		if sum >= p.shape.Layers {
			return fill
		}
	}
	return healFills[0]
}

// bestMove returns the engine and its new run that gain most, or nil.
func (p *plan) bestMove(centre string, fill float64) (*Engine, fleet.LayerRange) {
	var best *Engine
	var run fleet.LayerRange
	most := 0.0
	for i := range p.engines {
		e := &p.engines[i]
		if e.DataCentre != centre || e.Fixed || !e.Ordered.Empty() || e.Held.Empty() {
			continue
		}
		for size := layersAtFill(e, fill); size <= p.maxHealLayers(e, fill); size++ {
			for from := 0; from+size <= p.shape.Layers; from++ {
				r := fleet.LayerRange{From: from, To: from + size}
				if gain := p.moveGain(e, r, fill); gain > most {
					best, run, most = e, r, gain
				}
			}
		}
	}
	return best, run
}

// maxHealLayers is the most layers that an engine is given to close a gap.
func (p *plan) maxHealLayers(e *Engine, fill float64) int {
	return min(max(layersAtFill(e, stretchFill), layersAtFill(e, fill)), p.shape.Layers)
}

// moveGain weighs a new run of layers for an engine. It is zero or less where the
// move covers nothing, or gives up a layer that has no other holder.
func (p *plan) moveGain(e *Engine, r fleet.LayerRange, fill float64) float64 {
	local := p.holderCounts[e.DataCentre]
	gain := 0.0
	for layer := r.From; layer < r.To; layer++ {
		if e.Held.Holds(layer) {
			continue
		}
		gain -= loadCost
		if local[layer] == 0 {
			gain += coverGain
		}
	}
	for layer := e.Held.From; layer < e.Held.To; layer++ {
		if r.Holds(layer) {
			continue
		}
		if local[layer] < 2 {
			return 0
		}
		gain -= redundancyCost
	}
	if over := r.Len() - layersAtFill(e, fill); over > 0 {
		gain -= stretchCost * float64(over)
	}
	return gain - fastEngineCost/(1+e.LayerTime/fastLayerTime)
}

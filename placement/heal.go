package placement

import "github.com/hoistjunction/hoistjunction/fleet"

// healFills are the shares of an engine's memory that layers may occupy when the engine closes a
// coverage gap. The first share at which the data centre can hold a whole copy of the model is
// used.
var healFills = []float64{0.8, 0.85, 0.9, 0.95, 1}

const (
	// stretchFill is the share of an engine's memory that layers may occupy if this closes a
	// coverage gap. The remaining memory holds about 40 requests.
	stretchFill = 0.93
	// Weights of a move. Covering a layer counts far more than the costs: loading layers, giving
	// up second holders, and using memory beyond the normal fill.
	coverGain      = 1000.0
	loadCost       = 1.0
	redundancyCost = 2.0
	stretchCost    = 8.0
	// fastEngineCost is the cost of moving a very fast engine, so that slow engines are moved
	// first. An engine with a LayerTime of fastLayerTime, in milliseconds, costs half of it.
	fastEngineCost = 1.0
	fastLayerTime  = 0.1
)

// heal closes the coverage gaps of a data centre by moving engines that already hold layers. An
// engine may get another range if all layers that it gives up have another holder. Extending a
// neighbour by one or two layers takes a fraction of a second; larger gaps are closed by engines
// whose whole range is redundant.
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

// smallestFill returns the smallest of healFills at which the data centre can hold a whole copy of
// the model, or the first one if there is none.
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

// bestMove returns the engine and the new range with the highest gain, or nil if no move has a
// gain.
func (p *plan) bestMove(centre string, fill float64) (*Engine, fleet.LayerRange) {
	var best *Engine
	var target fleet.LayerRange
	most := 0.0
	for i := range p.engines {
		e := &p.engines[i]
		if e.DataCentre != centre || e.Fixed || !e.ordered.Empty() || e.held.Empty() {
			continue
		}
		for size := layersAtFill(e, fill); size <= p.maxHealLayers(e, fill); size++ {
			for from := 0; from+size <= p.shape.Layers; from++ {
				r := fleet.LayerRange{From: from, To: from + size}
				if gain := p.moveGain(e, r, fill); gain > most {
					best, target, most = e, r, gain
				}
			}
		}
	}
	return best, target
}

// maxHealLayers returns the maximum number of layers that an engine may hold to close a coverage
// gap.
func (p *plan) maxHealLayers(e *Engine, fill float64) int {
	return min(max(layersAtFill(e, stretchFill), layersAtFill(e, fill)), p.shape.Layers)
}

// moveGain returns the gain of giving an engine a new range. It is zero or negative if the move
// covers no layer or if the engine is the only holder of a layer that it would give up.
func (p *plan) moveGain(e *Engine, r fleet.LayerRange, fill float64) float64 {
	counts := p.holderCounts[e.DataCentre]
	gain := 0.0
	for layer := r.From; layer < r.To; layer++ {
		if e.held.Holds(layer) {
			continue
		}
		gain -= loadCost
		if counts[layer] == 0 {
			gain += coverGain
		}
	}
	for layer := e.held.From; layer < e.held.To; layer++ {
		if r.Holds(layer) {
			continue
		}
		if counts[layer] < 2 {
			return 0
		}
		gain -= redundancyCost
	}
	if excess := r.Len() - layersAtFill(e, fill); excess > 0 {
		gain -= stretchCost * float64(excess)
	}
	return gain - fastEngineCost/(1+e.LayerTime/fastLayerTime)
}

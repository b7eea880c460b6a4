// Package placement decides which engine holds which layers of a model.
//
// Each data centre gets a whole copy of the model if its engines have enough memory. Layouts are
// compared by their value (layout.value): the rate of streams that the data centre supports, minus
// the expected loss while a crashed engine is replaced. The rate falls with the memory that layers
// take from requests and with the time that slow engines hold requests in memory. Second holders
// reduce the expected loss. The initial plan is computed for all engines together. Later, each
// empty engine gets the range with the highest value. If a layer has lost its only holder in a
// data centre, an engine whose layers all have another holder is moved to it.
//
// Plan is a pure function of the engines. Two nodes that plan at the same time therefore produce
// the same orders.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Engine is the planner's input for an engine.
type Engine struct {
	ID         fleet.Incarnation
	DataCentre string
	// LayerCapacity is the number of whole layers that fit into the engine's memory, and MemoryLayers
	// the size of that memory in layers, including the fraction.
	LayerCapacity int
	MemoryLayers  float64
	// LayerTime is the time to generate one token in one layer, and ReadTime the time to process
	// one prompt token in one layer, in milliseconds.
	LayerTime float64
	ReadTime  float64
	// held is the range that the engine holds, and ordered the range of a pending order. Both are ranges of
	// the shape's layers: only ranges that a fleet.Engine of the same pipeline has checked get here, since
	// plans use them as indexes.
	held    fleet.LayerRange
	ordered fleet.LayerRange
	// Fixed engines get no orders at present.
	Fixed bool
	// Reserved engines are new and only used for layers without a holder.
	Reserved bool
}

// servingLayers returns the maximum number of layers that leave memory for requests. An engine
// that is filled to the last byte counts as a holder of its layers but cannot serve any request.
func (e *Engine) servingLayers() int { return int(math.Ceil(e.MemoryLayers)) - 1 }

// assigned returns the range of the pending order or, without one, the held range.
func (e *Engine) assigned() fleet.LayerRange {
	if !e.ordered.Empty() {
		return e.ordered
	}
	return e.held
}

// Order assigns a range of layers to an engine.
type Order struct {
	ID     fleet.Incarnation
	Layers fleet.LayerRange
	// Missing is the number of these layers that had no holder in the data centre.
	Missing int
}

// searchFills are the shares of an engine's memory that layers may occupy in the starting points
// of a search. The best starting point is improved further.
var searchFills = []float64{0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 1}

// Plan returns the orders to give now, most urgent first.
func Plan(shape Shape, engines []Engine) []Order { return newPlan(shape, engines).computeOrders() }

// computeOrders returns the orders to give now, most urgent first.
func (p *plan) computeOrders() []Order {
	var orders []Order
	for _, centre := range p.dataCentres {
		if p.isEmpty(centre) {
			orders = append(orders, p.planInitial(centre)...)
			continue
		}
		orders = append(orders, p.fillEmpty(centre)...)
		orders = append(orders, p.heal(centre)...)
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(b.Missing, a.Missing) })
	return orders
}

// plan is the state of planning: the engines and the number of holders of each layer, by data
// centre, including the orders added so far.
type plan struct {
	shape        Shape
	engines      []Engine
	dataCentres  []string
	holderCounts map[string][]int
	// evaluatedEngines counts the engines visited by all evaluations of layouts.
	evaluatedEngines int
}

func newPlan(shape Shape, engines []Engine) *plan {
	p := &plan{shape: shape, engines: slices.Clone(engines), holderCounts: make(map[string][]int)}
	slices.SortFunc(p.engines, func(a, b Engine) int { return a.ID.Compare(b.ID) })
	for i := range p.engines {
		e := &p.engines[i]
		if p.holderCounts[e.DataCentre] == nil {
			p.holderCounts[e.DataCentre] = make([]int, shape.Layers)
			p.dataCentres = append(p.dataCentres, e.DataCentre)
		}
		p.addHolders(e.DataCentre, e.assigned(), 1)
	}
	slices.Sort(p.dataCentres)
	return p
}

func (p *plan) addHolders(centre string, r fleet.LayerRange, delta int) {
	for layer := r.From; layer < r.To; layer++ {
		p.holderCounts[centre][layer] += delta
	}
}

// allLayers returns the range of all layers.
func (p *plan) allLayers() fleet.LayerRange { return fleet.LayerRange{To: p.shape.Layers} }

// enginesIn returns the engines of a data centre whose memory holds at least one layer.
func (p *plan) enginesIn(centre string) []*Engine {
	var list []*Engine
	for i := range p.engines {
		if e := &p.engines[i]; e.DataCentre == centre && e.LayerCapacity > 0 {
			list = append(list, e)
		}
	}
	return list
}

// isEmpty reports whether no engine of a data centre holds layers or has a pending order.
func (p *plan) isEmpty(centre string) bool {
	for _, e := range p.enginesIn(centre) {
		if !e.assigned().Empty() || e.Fixed {
			return false
		}
	}
	return true
}

// layersAtFill returns how many layers an engine gets at a fill, limited so that memory for
// requests is left.
func layersAtFill(e *Engine, fill float64) int {
	return max(1, min(int(float64(e.LayerCapacity)*fill), e.servingLayers()))
}

// planInitial plans a data centre in which all engines are empty.
func (p *plan) planInitial(centre string) []Order {
	var orders []Order
	var solved []*layout
	for _, group := range p.groups(centre) {
		l := newLayout(p.shape, group)
		if i := slices.IndexFunc(solved, l.sameKinds); i >= 0 {
			copy(l.ranges, solved[i].ranges)
		} else {
			l.search()
			solved = append(solved, l)
			p.evaluatedEngines += l.evaluatedEngines
		}
		for i, e := range l.engines {
			if !l.ranges[i].Empty() {
				orders = append(orders, p.addOrder(e, l.ranges[i]))
			}
		}
	}
	return orders
}

// needs reports whether a layer has no holder in some data centre, and whether an empty engine may
// get layers.
func (p *plan) needs() (missing, empty bool) {
	for _, centre := range p.dataCentres {
		missing = missing || p.missingLayers(centre, p.allLayers()) > 0
	}
	for i := range p.engines {
		empty = empty || p.fillable(&p.engines[i])
	}
	return missing, empty
}

// fillable reports whether an engine is empty and may get an order now.
func (p *plan) fillable(e *Engine) bool {
	return e.LayerCapacity > 0 && e.assigned().Empty() && !e.Fixed && !p.isReserved(e)
}

// fillEmpty gives each empty engine of a data centre the range with the highest value.
func (p *plan) fillEmpty(centre string) []Order {
	var orders []Order
	for _, group := range p.groups(centre) {
		if slices.ContainsFunc(group, p.fillable) {
			orders = append(orders, p.fillGroup(group)...)
		}
	}
	return orders
}

func (p *plan) fillGroup(engines []*Engine) []Order {
	var orders []Order
	l := newLayout(p.shape, engines)
	if empty := p.fillableIndexes(l); len(empty) > 1 && 2*l.countHolders() > p.shape.Layers {
		// Since each layer without a holder outweighs everything else, filling the engines one by
		// one would fill the first ones completely and leave them no memory for requests.
		l.searchEngines(empty)
		for _, i := range empty {
			orders = append(orders, p.addOrder(l.engines[i], l.ranges[i]))
		}
		p.evaluatedEngines += l.evaluatedEngines
		return orders
	}
	for i, e := range l.engines {
		if !p.fillable(e) {
			continue
		}
		r := l.bestInitialRange(i)
		if r.Empty() {
			continue
		}
		l.ranges[i] = r
		orders = append(orders, p.addOrder(e, r))
	}
	p.evaluatedEngines += l.evaluatedEngines
	return orders
}

// fillableIndexes returns the indexes of the engines in a layout that may be filled.
func (p *plan) fillableIndexes(l *layout) []int {
	var empty []int
	for i, e := range l.engines {
		if p.fillable(e) {
			empty = append(empty, i)
		}
	}
	return empty
}

// isReserved reports whether an engine is kept in reserve. Servers are replaced one after the
// other, and each new server starts before the old one leaves, so layers will soon need a holder.
func (p *plan) isReserved(e *Engine) bool {
	return e.Reserved && p.missingLayers(e.DataCentre, p.allLayers()) == 0
}

func (p *plan) addOrder(e *Engine, r fleet.LayerRange) Order {
	o := Order{ID: e.ID, Layers: r, Missing: p.missingLayers(e.DataCentre, r)}
	p.addHolders(e.DataCentre, e.assigned(), -1)
	p.addHolders(e.DataCentre, r, 1)
	e.ordered = r
	return o
}

func (p *plan) missingLayers(centre string, r fleet.LayerRange) int {
	n := 0
	for layer := r.From; layer < r.To; layer++ {
		if p.holderCounts[centre][layer] == 0 {
			n++
		}
	}
	return n
}

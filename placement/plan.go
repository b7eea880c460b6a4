// Package placement decides which engine holds which layers of a model.
//
// Each data centre gets a whole copy if its engines can hold one. What engines
// hold is chosen by what it is worth (layout.value): the streams a second that the
// data centre bears, which falls with the memory that layers take away from
// requests and with the time that slow engines hold it, less what is lost while
// an engine that goes is replaced, which second holders save. The first plan is
// sought as a whole. Later, empty engines are given the range that is worth most,
// and where a layer has lost its only holder in a data centre, an engine whose
// layers all have another holder moves there.
//
// Plan is pure, and the same engines give the same plan, so that two nodes
// that plan at the same time ask for the same.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Engine is an engine as the planner sees it.
type Engine struct {
	ID         fleet.Incarnation
	DataCentre string
	// MaxLayers is how many layers fit into its memory, and Memory the same with the
	// part of a layer that is left over.
	MaxLayers    int
	MemoryLayers float64
	// LayerTime is the time of one token through one layer, and ReadTime that of
	// one token of a prompt, in ms.
	LayerTime float64
	ReadTime  float64
	// Held is what it holds, and Coming what it has been ordered to hold.
	Held    fleet.LayerRange
	Ordered fleet.LayerRange
	// Fixed engines get no orders now.
	Fixed bool
	// Reserved engines are new; they are kept for layers without a holder.
	Reserved bool
}

// servingLayers is how many layers an engine can hold and serve. One that its layers fill to the
// last byte has no memory for a request: its layers look held, and nobody is served.
func (e *Engine) servingLayers() int { return int(math.Ceil(e.MemoryLayers)) - 1 }

// assigned is the range that the engine holds or will.
func (e *Engine) assigned() fleet.LayerRange {
	if !e.Ordered.Empty() {
		return e.Ordered
	}
	return e.Held
}

// Order tells an engine which layers to hold.
type Order struct {
	ID     fleet.Incarnation
	Layers fleet.LayerRange
	// Missing is how many of the layers had no holder in the data centre.
	Missing int
}

// searchFills are the shares of an engine's memory that layers may take when a first
// plan is sought, and from which the best is improved on.
var searchFills = []float64{0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 1}

// Plan returns the orders to be given now, most urgent first.
func Plan(shape Shape, engines []Engine) []Order { return newPlan(shape, engines).computeOrders() }

// computeOrders returns the orders to be given now.
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

// plan counts the holders of each layer while orders are added.
type plan struct {
	shape        Shape
	engines      []Engine
	dataCentres  []string
	holderCounts map[string][]int
	// evaluatedEngines counts the engines that have been looked at for the values of layouts.
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

func (p *plan) addHolders(centre string, r fleet.LayerRange, by int) {
	for layer := max(r.From, 0); layer < min(r.To, p.shape.Layers); layer++ {
		p.holderCounts[centre][layer] += by
	}
}

// allLayers is the range of all layers.
func (p *plan) allLayers() fleet.LayerRange { return fleet.LayerRange{To: p.shape.Layers} }

// enginesIn returns the engines of a data centre that can hold a layer.
func (p *plan) enginesIn(centre string) []*Engine {
	var list []*Engine
	for i := range p.engines {
		if e := &p.engines[i]; e.DataCentre == centre && e.MaxLayers > 0 {
			list = append(list, e)
		}
	}
	return list
}

// isEmpty tells whether no engine of a data centre holds anything or is to.
func (p *plan) isEmpty(centre string) bool {
	for _, e := range p.enginesIn(centre) {
		if !e.assigned().Empty() || e.Fixed {
			return false
		}
	}
	return true
}

// layersAtFill is how many layers an engine is given at a fill, if that leaves memory for
// requests.
func layersAtFill(e *Engine, fill float64) int {
	return max(1, min(int(float64(e.MaxLayers)*fill), e.servingLayers()))
}

// planInitial plans a data centre whose engines are all empty.
func (p *plan) planInitial(centre string) []Order {
	var orders []Order
	var found []*layout
	for _, group := range p.groups(centre) {
		l := newLayout(p.shape, group)
		if i := slices.IndexFunc(found, l.sameKinds); i >= 0 {
			copy(l.ranges, found[i].ranges)
		} else {
			l.search()
			found = append(found, l)
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

// needs tells whether some layer lacks a holder in a data centre, and whether some
// engine is to be filled.
func (p *plan) needs() (missing, empty bool) {
	for _, centre := range p.dataCentres {
		missing = missing || p.missingLayers(centre, p.allLayers()) > 0
	}
	for i := range p.engines {
		empty = empty || p.fillable(&p.engines[i])
	}
	return missing, empty
}

// fillable tells whether an engine is empty and may get an order now.
func (p *plan) fillable(e *Engine) bool {
	return e.MaxLayers > 0 && e.assigned().Empty() && !e.Fixed && !p.isReserved(e)
}

// fillEmpty gives the empty engines of a data centre the ranges that are worth most.
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
	if open := p.fillableIndexes(l); len(open) > 1 && 2*l.countHolders() > p.shape.Layers {
		// One after the other, the first would be filled to the last layer, since each layer
		// without a holder outweighs all else, and have no memory for requests.
		l.searchEngines(open)
		for _, i := range open {
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

// fillableIndexes are the places of the engines of a layout that may be filled.
func (p *plan) fillableIndexes(l *layout) []int {
	var open []int
	for i, e := range l.engines {
		if p.fillable(e) {
			open = append(open, i)
		}
	}
	return open
}

// isReserved tells whether an engine is held in reserve: servers are replaced one
// after the other, the new one first, so layers will soon want a holder.
func (p *plan) isReserved(e *Engine) bool {
	return e.Reserved && p.missingLayers(e.DataCentre, p.allLayers()) == 0
}

func (p *plan) addOrder(e *Engine, r fleet.LayerRange) Order {
	o := Order{ID: e.ID, Layers: r, Missing: p.missingLayers(e.DataCentre, r)}
	p.addHolders(e.DataCentre, e.assigned(), -1)
	p.addHolders(e.DataCentre, r, 1)
	e.Ordered = r
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

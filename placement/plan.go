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
	// Most is how many layers fit into its memory, and Memory the same with the
	// part of a layer that is left over.
	Most   int
	Memory float64
	// LayerTime is the time of one token through one layer, and ReadTime that of
	// one token of a prompt, in ms.
	LayerTime float64
	ReadTime  float64
	// Held is what it holds, and Coming what it has been ordered to hold.
	Held   fleet.LayerRange
	Coming fleet.LayerRange
	// Fixed engines get no orders now.
	Fixed bool
	// Reserve engines are new; they are kept for layers without a holder.
	Reserve bool
}

// serving is how many layers an engine can hold and serve. One that its layers fill to the
// last byte has no memory for a request: its layers look held, and nobody is served.
func (e *Engine) serving() int { return int(math.Ceil(e.Memory)) - 1 }

// standing is the range that the engine holds or will.
func (e *Engine) standing() fleet.LayerRange {
	if !e.Coming.Empty() {
		return e.Coming
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

// fills are the shares of an engine's memory that layers may take when a first
// plan is sought, and from which the best is improved on.
var fills = []float64{0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 1}

// Plan returns the orders to be given now, most urgent first.
func Plan(shape Shape, engines []Engine) []Order { return newPlan(shape, engines).seek() }

// seek returns the orders to be given now.
func (p *plan) seek() []Order {
	var orders []Order
	for _, centre := range p.centres {
		if p.untouched(centre) {
			orders = append(orders, p.design(centre)...)
			continue
		}
		orders = append(orders, p.fill(centre)...)
		orders = append(orders, p.heal(centre)...)
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(b.Missing, a.Missing) })
	return orders
}

// plan counts the holders of each layer while orders are added.
type plan struct {
	shape   Shape
	engines []Engine
	centres []string
	local   map[string][]int
	// weighed counts the engines that have been looked at for the values of layouts.
	weighed int
}

func newPlan(shape Shape, engines []Engine) *plan {
	p := &plan{shape: shape, engines: slices.Clone(engines), local: make(map[string][]int)}
	slices.SortFunc(p.engines, func(a, b Engine) int { return a.ID.Compare(b.ID) })
	for i := range p.engines {
		e := &p.engines[i]
		if p.local[e.DataCentre] == nil {
			p.local[e.DataCentre] = make([]int, shape.Layers)
			p.centres = append(p.centres, e.DataCentre)
		}
		p.count(e.DataCentre, e.standing(), 1)
	}
	slices.Sort(p.centres)
	return p
}

func (p *plan) count(centre string, r fleet.LayerRange, by int) {
	for layer := max(r.From, 0); layer < min(r.To, p.shape.Layers); layer++ {
		p.local[centre][layer] += by
	}
}

// whole is the range of all layers.
func (p *plan) whole() fleet.LayerRange { return fleet.LayerRange{To: p.shape.Layers} }

// of returns the engines of a data centre that can hold a layer.
func (p *plan) of(centre string) []*Engine {
	var list []*Engine
	for i := range p.engines {
		if e := &p.engines[i]; e.DataCentre == centre && e.Most > 0 {
			list = append(list, e)
		}
	}
	return list
}

// untouched tells whether no engine of a data centre holds anything or is to.
func (p *plan) untouched(centre string) bool {
	for _, e := range p.of(centre) {
		if !e.standing().Empty() || e.Fixed {
			return false
		}
	}
	return true
}

// capacity is how many layers an engine is given at a fill, if that leaves memory for
// requests.
func capacity(e *Engine, fill float64) int {
	return max(1, min(int(float64(e.Most)*fill), e.serving()))
}

// design plans a data centre whose engines are all empty.
func (p *plan) design(centre string) []Order {
	var orders []Order
	var found []*layout
	for _, group := range p.groups(centre) {
		l := newLayout(p.shape, group)
		if i := slices.IndexFunc(found, l.alike); i >= 0 {
			copy(l.ranges, found[i].ranges)
		} else {
			l.search()
			found = append(found, l)
			p.weighed += l.weighed
		}
		for i, e := range l.engines {
			if !l.ranges[i].Empty() {
				orders = append(orders, p.order(e, l.ranges[i]))
			}
		}
	}
	return orders
}

// wants tells whether some layer lacks a holder in a data centre, and whether some
// engine is to be filled.
func (p *plan) wants() (missing, empty bool) {
	for _, centre := range p.centres {
		missing = missing || p.missing(centre, p.whole()) > 0
	}
	for i := range p.engines {
		empty = empty || p.fillable(&p.engines[i])
	}
	return missing, empty
}

// fillable tells whether an engine is empty and may get an order now.
func (p *plan) fillable(e *Engine) bool {
	return e.Most > 0 && e.standing().Empty() && !e.Fixed && !p.keep(e)
}

// fill gives the empty engines of a data centre the ranges that are worth most.
func (p *plan) fill(centre string) []Order {
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
	if open := p.open(l); len(open) > 1 && 2*l.count() > p.shape.Layers {
		// One after the other, the first would be filled to the last layer, since each layer
		// without a holder outweighs all else, and have no memory for requests.
		l.searchOver(open)
		for _, i := range open {
			orders = append(orders, p.order(l.engines[i], l.ranges[i]))
		}
		p.weighed += l.weighed
		return orders
	}
	for i, e := range l.engines {
		if !p.fillable(e) {
			continue
		}
		r := l.roomiest(i)
		if r.Empty() {
			continue
		}
		l.ranges[i] = r
		orders = append(orders, p.order(e, r))
	}
	p.weighed += l.weighed
	return orders
}

// open are the places of the engines of a layout that may be filled.
func (p *plan) open(l *layout) []int {
	var open []int
	for i, e := range l.engines {
		if p.fillable(e) {
			open = append(open, i)
		}
	}
	return open
}

// keep tells whether an engine is held in reserve: servers are replaced one
// after the other, the new one first, so layers will soon want a holder.
func (p *plan) keep(e *Engine) bool { return e.Reserve && p.missing(e.DataCentre, p.whole()) == 0 }

func (p *plan) order(e *Engine, r fleet.LayerRange) Order {
	o := Order{ID: e.ID, Layers: r, Missing: p.missing(e.DataCentre, r)}
	p.count(e.DataCentre, e.standing(), -1)
	p.count(e.DataCentre, r, 1)
	e.Coming = r
	return o
}

func (p *plan) missing(centre string, r fleet.LayerRange) int {
	n := 0
	for layer := r.From; layer < r.To; layer++ {
		if p.local[centre][layer] == 0 {
			n++
		}
	}
	return n
}

// Package placement decides which engine holds which layers of a model.
//
// Each data centre gets a whole copy if its engines can hold one, and a second
// holder for as many layers as fit beside it. An engine is filled only in part,
// since what the layers leave is the memory for requests. Empty engines are
// given what is missing most; where a layer has lost its only holder in a data
// centre, an engine whose layers all have another holder moves there.
//
// Plan is pure, and the same engines give the same plan, so that two nodes
// that plan at the same time ask for the same.
package placement

import (
	"cmp"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// Engine is an engine as the planner sees it.
type Engine struct {
	ID         string
	DataCentre string
	// Most is how many layers fit into its memory.
	Most int
	// LayerTime is the time of one token through one layer, in ms.
	LayerTime float64
	// Held is what it holds, and Coming what it has been ordered to hold.
	Held   fleet.Range
	Coming fleet.Range
	// Fixed engines get no orders now.
	Fixed bool
	// Reserve engines are new; they are kept for layers without a holder.
	Reserve bool
}

// standing is the range that the engine holds or will.
func (e *Engine) standing() fleet.Range {
	if !e.Coming.Empty() {
		return e.Coming
	}
	return e.Held
}

// Order tells an engine which layers to hold.
type Order struct {
	ID     string
	Layers fleet.Range
	// Missing is how many of the layers had no holder in the data centre.
	Missing int
}

// fills are the shares of an engine's memory that layers may take. The first
// that gives a data centre a whole copy is taken. With 0.8 a third of the
// layers have a second holder and engines keep room for some 60 requests; fuller
// engines ran out of memory on calm days (docs/PLATFORM.md).
var fills = []float64{0.8, 0.85, 0.9, 0.95, 1}

// Plan returns the orders to be given now, most urgent first.
func Plan(layers int, engines []Engine) []Order {
	p := newPlan(layers, engines)
	var orders []Order
	for _, e := range p.empties() {
		if o, ok := p.fill(e); ok {
			orders = append(orders, o)
		}
	}
	for _, centre := range p.centres {
		orders = append(orders, p.heal(centre)...)
	}
	return orders
}

// plan counts the holders of each layer while orders are added.
type plan struct {
	layers  int
	engines []Engine
	centres []string
	fillOf  map[string]float64
	local   map[string][]int
	global  []int
	// spans sums up the lengths of a layer's holders in a data centre; where
	// there is one, it is how much would be lost with it.
	spans map[string][]int
}

func newPlan(layers int, engines []Engine) *plan {
	p := &plan{
		layers: layers, engines: slices.Clone(engines), fillOf: make(map[string]float64),
		local: make(map[string][]int), global: make([]int, layers), spans: make(map[string][]int),
	}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for i := range p.engines {
		e := &p.engines[i]
		if p.local[e.DataCentre] == nil {
			p.local[e.DataCentre] = make([]int, layers)
			p.spans[e.DataCentre] = make([]int, layers)
			p.centres = append(p.centres, e.DataCentre)
		}
		p.count(e.DataCentre, e.standing(), 1)
	}
	slices.Sort(p.centres)
	for _, centre := range p.centres {
		p.fillOf[centre] = p.fillFor(centre)
	}
	return p
}

func (p *plan) count(centre string, r fleet.Range, by int) {
	for layer := max(r.From, 0); layer < min(r.To, p.layers); layer++ {
		p.local[centre][layer] += by
		p.spans[centre][layer] += by * r.Len()
		p.global[layer] += by
	}
}

// fillFor returns the smallest fill that gives the data centre a whole copy,
// and the first where none does.
func (p *plan) fillFor(centre string) float64 {
	for _, fill := range fills {
		sum := 0
		for i := range p.engines {
			if p.engines[i].DataCentre == centre {
				sum += capacity(&p.engines[i], fill)
			}
		}
		if sum >= p.layers {
			return fill
		}
	}
	return fills[0]
}

// capacity is how many layers an engine is given.
func capacity(e *Engine, fill float64) int { return max(1, int(float64(e.Most)*fill)) }

// empties returns the engines that hold nothing and await nothing, the fast
// and large ones first.
func (p *plan) empties() []*Engine {
	var empty []*Engine
	for i := range p.engines {
		e := &p.engines[i]
		if e.standing().Empty() && !e.Fixed && e.Most > 0 && !p.keep(e) {
			empty = append(empty, e)
		}
	}
	slices.SortStableFunc(empty, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(b.Most, a.Most), cmp.Compare(a.LayerTime, b.LayerTime))
	})
	return empty
}

// keep tells whether an engine is held in reserve: servers are replaced one
// after the other, the new one first, so layers will soon want a holder.
func (p *plan) keep(e *Engine) bool {
	return e.Reserve && p.missing(e.DataCentre, fleet.Range{To: p.layers}) == 0
}

// fill gives an empty engine the run of layers that is missing most.
func (p *plan) fill(e *Engine) (Order, bool) {
	size := min(capacity(e, p.fillOf[e.DataCentre]), p.layers)
	r := p.neediest(e.DataCentre, size)
	if r.Empty() {
		return Order{}, false
	}
	return p.order(e, r), true
}

func (p *plan) order(e *Engine, r fleet.Range) Order {
	o := Order{ID: e.ID, Layers: r, Missing: p.missing(e.DataCentre, r)}
	p.count(e.DataCentre, e.standing(), -1)
	p.count(e.DataCentre, r, 1)
	e.Coming = r
	return o
}

func (p *plan) missing(centre string, r fleet.Range) int {
	n := 0
	for layer := r.From; layer < r.To; layer++ {
		if p.local[centre][layer] == 0 {
			n++
		}
	}
	return n
}

// neediest returns the run of layers of a size whose layers have the fewest
// holders.
func (p *plan) neediest(centre string, size int) fleet.Range {
	best, bestNeed := fleet.Range{}, 0.0
	for from := 0; from+size <= p.layers; from++ {
		need := 0.0
		for layer := from; layer < from+size; layer++ {
			need += p.need(centre, layer)
		}
		if need > bestNeed+1e-9 {
			best, bestNeed = fleet.Range{From: from, To: from + size}, need
		}
	}
	return best
}

// Weights of a layer's need. Each step outweighs all layers of the next one. A
// second holder matters more the more layers would be lost with the first,
// since they take that much longer to be loaded again.
const (
	needNowhere = 1e8
	needLocal   = 1e5
	needSecond  = 1.0
	needThird   = 1e-3
)

func (p *plan) need(centre string, layer int) float64 {
	local, global := p.local[centre][layer], p.global[layer]
	switch {
	case global == 0:
		return needNowhere
	case local == 0:
		return needLocal
	case local == 1:
		return needSecond*float64(max(p.spans[centre][layer], 1)) + needThird/float64(global)
	default:
		return needThird / float64(local)
	}
}

package placement

import "github.com/hoistjunction/hoistjunction/fleet"

const (
	// standsFor is for how long a changed layout is taken to stand, in ms: in a
	// data centre of a dozen engines that last for lossEvery each, the next one
	// goes after some eight seconds, and half of what was gained outlasts that.
	standsFor = 16_000.0
	// changeTakes is what a change takes beside its load, in ms: streams are moved
	// off the layers that are given up, and all nodes learn of it.
	changeTakes = 1000.0
	// moveHarm is the part of its worth that a stream loses on average when it is
	// moved: about every third pauses for too long (docs/MEASUREMENTS.md).
	moveHarm = 0.3
	// leastNet is the least net gain for which a layout that serves is changed, in
	// ms of the data centre's traffic.
	leastNet = 500.0
)

// Improve returns the changes that pay for themselves while a plan stands: at most
// one for each data centre, and none where anything is missing or under way.
func Improve(shape Shape, engines []Engine) []Order {
	p := newPlan(shape, engines)
	var orders []Order
	for _, centre := range p.centres {
		if p.missing(centre, p.whole()) > 0 || p.underWay(centre) {
			continue
		}
		if o, ok := p.better(centre); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// underWay tells whether some engine of a data centre awaits an order, carries one
// out, or is held in reserve.
func (p *plan) underWay(centre string) bool {
	for _, e := range p.of(centre) {
		if e.Fixed || e.standing().Empty() {
			return true
		}
	}
	return false
}

// better returns the change of one engine's range that gains most beyond its cost.
func (p *plan) better(centre string) (Order, bool) {
	l := newLayout(p.shape, p.of(centre))
	var best change
	most := leastNet
	for i := range l.engines {
		c := l.bestFor(i)
		if net := c.gain*standsFor - l.cost(c); net > most {
			best, most = c, net
		}
	}
	if most <= leastNet {
		return Order{}, false
	}
	return p.order(l.engines[best.place], best.layers), true
}

// cost is what a change costs, in ms of the data centre's traffic: what is not
// served while the engine loads and only has the layers that it keeps, and the
// harm to the streams that pass those that it gives up.
func (l *layout) cost(c change) float64 {
	was := l.ranges[c.place]
	before := l.value()
	lasts := l.lasts(l.room())
	moved := l.passing(c.place, c.layers)
	kept := was.Overlap(c.layers)
	l.ranges[c.place] = kept
	dip := max(0, before-l.value())
	l.ranges[c.place] = was
	load := changeTakes + l.shape.LoadTime*float64(c.layers.Len()-kept.Len())
	return dip*load + moveHarm*moved*lasts
}

// passing is the part of the data centre's streams that pass an engine at layers
// that it would give up for others. It relies on what count has filled in.
func (l *layout) passing(i int, next fleet.Range) float64 {
	most := 0.0
	for layer := l.ranges[i].From; layer < l.ranges[i].To; layer++ {
		if !next.Holds(layer) && l.capacity[layer] > 0 {
			most = max(most, l.share(i)/l.capacity[layer])
		}
	}
	return most
}

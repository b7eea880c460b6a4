package chain

import (
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// builder finds the cheapest way from a layer to the last, over the layers at
// which some engine's range begins or ends.
type builder struct {
	from    int
	layers  int
	tokens  float64
	origin  string
	holders []Holder
	// cuts are the layers at which a part may begin or end, rising.
	cuts []int
	// centres numbers the data centres; 0 is the origin.
	centres map[string]int
	steps   []step
	// short notes that an engine was passed over for lack of memory.
	short bool
}

// step is the cheapest known way to a layer that ends in a data centre.
type step struct {
	cost   float64
	from   int
	holder int
}

func newBuilder(from, layers int, tokens float64, origin string, holders []Holder) *builder {
	b := &builder{from: from, layers: layers, tokens: tokens, origin: origin, holders: holders, centres: map[string]int{origin: 0}}
	seen := make([]bool, layers+1)
	seen[from], seen[layers] = true, true
	for i := range holders {
		h := &holders[i]
		if h.Held.From < 0 || h.Held.To > layers || h.Held.Empty() {
			continue
		}
		seen[max(h.Held.From, from)], seen[max(h.Held.To, from)] = true, true
		if _, ok := b.centres[h.DataCentre]; !ok {
			b.centres[h.DataCentre] = len(b.centres)
		}
	}
	for layer, cut := range seen {
		if cut {
			b.cuts = append(b.cuts, layer)
		}
	}
	b.steps = make([]step, len(b.cuts)*len(b.centres))
	for i := range b.steps {
		b.steps[i] = step{cost: math.Inf(1), from: -1, holder: -1}
	}
	b.steps[0].cost = 0
	return b
}

// best returns the cheapest chain and what it costs, or nil.
func (b *builder) best() (parts []Part, cost float64) {
	for at := range b.cuts {
		for centre := range len(b.centres) {
			if !math.IsInf(b.steps[b.index(at, centre)].cost, 1) {
				b.extend(at, centre)
			}
		}
	}
	last := len(b.cuts) - 1
	end := -1
	for centre := range len(b.centres) {
		i := b.index(last, centre)
		if !math.IsInf(b.steps[i].cost, 1) && (end < 0 || b.steps[i].cost < b.steps[end].cost) {
			end = i
		}
	}
	if end < 0 {
		return nil, 0
	}
	parts = b.walk(end)
	if !checkFrom(b.from, b.layers, parts) {
		return nil, 0
	}
	return parts, b.steps[end].cost
}

func (b *builder) index(at, centre int) int { return at*len(b.centres) + centre }

// extend tries every engine that holds the layer at a cut.
func (b *builder) extend(at, centre int) {
	here := b.index(at, centre)
	for i := range b.holders {
		h := &b.holders[i]
		if !h.Held.Holds(b.cuts[at]) || h.Held.To > b.layers || b.used(here, i) {
			continue
		}
		b.extendWith(at, centre, i)
	}
}

func (b *builder) extendWith(at, centre, holder int) {
	h := &b.holders[holder]
	to := b.centres[h.DataCentre]
	base := b.steps[b.index(at, centre)].cost + h.Penalty + hopCost
	switch {
	case to == centre:
	case b.cuts[at] == 0:
		base += enteringCost
	default:
		base += crossingCost
	}
	if b.cuts[at] == 0 {
		base += h.Begin
	}
	for next := at + 1; next < len(b.cuts) && b.cuts[next] <= h.Held.To; next++ {
		span := b.cuts[next] - b.cuts[at]
		need := b.tokens * float64(span)
		if need > h.Room-spareRoom*h.Total {
			b.short = true
			return
		}
		cost := base + h.LayerTime*float64(span) + crowd(h, need)
		s := &b.steps[b.index(next, to)]
		if cost < s.cost {
			*s = step{cost: cost, from: b.index(at, centre), holder: holder}
		}
	}
}

// crowd prices an engine by how full its memory would be, or how busy it is with
// reading.
func crowd(h *Holder, need float64) float64 {
	full := h.Busy
	if h.Total > 0 {
		full = max(full, 1-(h.Room-need)/h.Total)
	}
	return crowdCost * full * full * full * full
}

// used tells whether the way to a step passes an engine already.
func (b *builder) used(at, holder int) bool {
	for at > 0 && b.steps[at].holder >= 0 {
		if b.steps[at].holder == holder {
			return true
		}
		at = b.steps[at].from
	}
	return false
}

func (b *builder) walk(end int) []Part {
	var parts []Part
	for at := end; b.steps[at].holder >= 0; at = b.steps[at].from {
		s := b.steps[at]
		h := &b.holders[s.holder]
		layers := fleet.LayerRange{From: b.cuts[s.from/len(b.centres)], To: b.cuts[at/len(b.centres)]}
		parts = append(parts, Part{ID: h.ID, Address: h.Address, Layers: layers})
	}
	slices.Reverse(parts)
	return parts
}

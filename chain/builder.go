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
	// boundaries are the layers at which a part may begin or end, rising.
	boundaries []int
	// dataCentres numbers the data centres; 0 is the origin.
	dataCentres map[string]int
	steps       []step
	// outOfMemory notes that an engine was passed over for lack of memory.
	outOfMemory bool
}

// step is the cheapest known way to a layer that ends in a data centre.
type step struct {
	cost   float64
	from   int
	holder int
}

func newBuilder(from, layers int, tokens float64, origin string, holders []Holder) *builder {
	b := &builder{from: from, layers: layers, tokens: tokens, origin: origin, holders: holders, dataCentres: map[string]int{origin: 0}}
	seen := make([]bool, layers+1)
	seen[from], seen[layers] = true, true
	for i := range holders {
		h := &holders[i]
		if h.Held.From < 0 || h.Held.To > layers || h.Held.Empty() {
			continue
		}
		seen[max(h.Held.From, from)], seen[max(h.Held.To, from)] = true, true
		if _, ok := b.dataCentres[h.DataCentre]; !ok {
			b.dataCentres[h.DataCentre] = len(b.dataCentres)
		}
	}
	for layer, cut := range seen {
		if cut {
			b.boundaries = append(b.boundaries, layer)
		}
	}
	b.steps = make([]step, len(b.boundaries)*len(b.dataCentres))
	for i := range b.steps {
		b.steps[i] = step{cost: math.Inf(1), from: -1, holder: -1}
	}
	b.steps[0].cost = 0
	return b
}

// best returns the cheapest chain and what it costs, or nil.
func (b *builder) best() (parts []Stage, cost float64) {
	for at := range b.boundaries {
		for centre := range len(b.dataCentres) {
			if !math.IsInf(b.steps[b.index(at, centre)].cost, 1) {
				b.extend(at, centre)
			}
		}
	}
	last := len(b.boundaries) - 1
	end := -1
	for centre := range len(b.dataCentres) {
		i := b.index(last, centre)
		if !math.IsInf(b.steps[i].cost, 1) && (end < 0 || b.steps[i].cost < b.steps[end].cost) {
			end = i
		}
	}
	if end < 0 {
		return nil, 0
	}
	parts = b.stages(end)
	if !validFrom(b.from, b.layers, parts) {
		return nil, 0
	}
	return parts, b.steps[end].cost
}

func (b *builder) index(at, centre int) int { return at*len(b.dataCentres) + centre }

// extend tries every engine that holds the layer at a cut.
func (b *builder) extend(at, centre int) {
	here := b.index(at, centre)
	for i := range b.holders {
		h := &b.holders[i]
		if !h.Held.Holds(b.boundaries[at]) || h.Held.To > b.layers || b.uses(here, i) {
			continue
		}
		b.extendWith(at, centre, i)
	}
}

func (b *builder) extendWith(at, centre, holder int) {
	h := &b.holders[holder]
	to := b.dataCentres[h.DataCentre]
	base := b.steps[b.index(at, centre)].cost + h.Penalty + hopCost
	switch {
	case to == centre:
	case b.boundaries[at] == 0:
		base += remoteEntryCost
	default:
		base += crossingCost
	}
	if b.boundaries[at] == 0 {
		base += h.EntryCost
	}
	for next := at + 1; next < len(b.boundaries) && b.boundaries[next] <= h.Held.To; next++ {
		span := b.boundaries[next] - b.boundaries[at]
		need := b.tokens * float64(span)
		if need > h.FreeMemory-memoryReserve*h.TotalMemory {
			b.outOfMemory = true
			return
		}
		cost := base + h.LayerTime*float64(span) + loadCost(h, need)
		s := &b.steps[b.index(next, to)]
		if cost < s.cost {
			*s = step{cost: cost, from: b.index(at, centre), holder: holder}
		}
	}
}

// loadCost prices an engine by how full its memory would be, or how busy it is with
// reading.
func loadCost(h *Holder, need float64) float64 {
	full := h.PromptLoad
	if h.TotalMemory > 0 {
		full = max(full, 1-(h.FreeMemory-need)/h.TotalMemory)
	}
	return fullLoadCost * full * full * full * full
}

// uses tells whether the way to a step passes an engine already.
func (b *builder) uses(at, holder int) bool {
	for at > 0 && b.steps[at].holder >= 0 {
		if b.steps[at].holder == holder {
			return true
		}
		at = b.steps[at].from
	}
	return false
}

func (b *builder) stages(end int) []Stage {
	var parts []Stage
	for at := end; b.steps[at].holder >= 0; at = b.steps[at].from {
		s := b.steps[at]
		h := &b.holders[s.holder]
		layers := fleet.LayerRange{From: b.boundaries[s.from/len(b.dataCentres)], To: b.boundaries[at/len(b.dataCentres)]}
		parts = append(parts, Stage{ID: h.ID, Address: h.Address, Layers: layers})
	}
	slices.Reverse(parts)
	return parts
}

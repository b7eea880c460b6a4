package chain

import (
	"math"
	"slices"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// builder finds the cheapest path from a layer to the last one, over the layers at which the range
// of an engine begins or ends.
type builder struct {
	from    int
	layers  int
	tokens  float64
	origin  string
	holders []Holder
	// boundaries are the layers at which a stage may begin or end, in ascending order.
	boundaries []int
	// dataCentres contains the index of each data centre; the origin has index 0.
	dataCentres map[string]int
	steps       []step
	// outOfMemory is set if an engine was skipped because of insufficient free memory.
	outOfMemory bool
}

// step is the cheapest known path that ends at a boundary and in a data centre. from is the index
// of the preceding step.
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
	for layer, isBoundary := range seen {
		if isBoundary {
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

// best returns the cheapest chain and its cost, or nil if there is no chain.
func (b *builder) best() (stages []Stage, cost float64) {
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
	stages = b.stages(end)
	if !validFrom(b.from, b.layers, stages) {
		return nil, 0
	}
	return stages, b.steps[end].cost
}

func (b *builder) index(at, centre int) int { return at*len(b.dataCentres) + centre }

// extend extends a step by each engine that holds the layer at its boundary.
func (b *builder) extend(at, centre int) {
	current := b.index(at, centre)
	for i := range b.holders {
		h := &b.holders[i]
		if !h.Held.Holds(b.boundaries[at]) || h.Held.To > b.layers || b.uses(current, i) {
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
		required := b.tokens * float64(span)
		if required > h.FreeMemory-memoryReserve*h.TotalMemory {
			b.outOfMemory = true
			return
		}
		cost := base + h.LayerTime*float64(span) + loadCost(h, required)
		s := &b.steps[b.index(next, to)]
		if cost < s.cost {
			*s = step{cost: cost, from: b.index(at, centre), holder: holder}
		}
	}
}

// loadCost returns the cost of an engine's load: the share of its memory in use after the request
// was added, or its prompt load if this is higher.
func loadCost(h *Holder, required float64) float64 {
	load := h.PromptLoad
	if h.TotalMemory > 0 {
		load = max(load, 1-(h.FreeMemory-required)/h.TotalMemory)
	}
	return fullLoadCost * load * load * load * load
}

// uses reports whether the path to a step already uses an engine.
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
	var stages []Stage
	for at := end; b.steps[at].holder >= 0; at = b.steps[at].from {
		s := b.steps[at]
		h := &b.holders[s.holder]
		layers := fleet.LayerRange{From: b.boundaries[s.from/len(b.dataCentres)], To: b.boundaries[at/len(b.dataCentres)]}
		stages = append(stages, Stage{ID: h.ID, Address: h.Address, Layers: layers})
	}
	slices.Reverse(stages)
	return stages
}

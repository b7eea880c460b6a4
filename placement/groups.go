package placement

import (
	"cmp"
	"slices"
)

const (
	// maxGroupSize is the maximum number of engines of a data centre that are planned together.
	// Evaluating one range of an engine takes time proportional to the number of engines in the
	// group, so the cost of a plan grows with the square of the group size. The largest data
	// centres measured have 44 engines and are planned as one group; a plan for 64 engines takes
	// about 0.1 s.
	maxGroupSize = 64
	// minGroupCopies is the minimum number of model copies that fit into the memory of a group's
	// engines: one copy, plus the same amount of memory for requests and second holders.
	minGroupCopies = 2
)

// groups divides the engines of a data centre into groups, each of which is planned as if it were
// a data centre. Engines of the same kind, or with the same layers, are distributed evenly over
// the groups.
func (p *plan) groups(centre string) [][]*Engine {
	engines := p.enginesIn(centre)
	n := p.groupCount(engines)
	if n < 2 {
		return [][]*Engine{engines}
	}
	slices.SortFunc(engines, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.assigned().From, b.assigned().From), cmp.Compare(a.assigned().To, b.assigned().To), compareBySpeed(a, b))
	})
	groups := make([][]*Engine, n)
	for i, e := range engines {
		groups[i%n] = append(groups[i%n], e)
	}
	return groups
}

// groupCount returns the number of groups for the given engines: the smallest number that keeps
// every group within maxGroupSize, limited so that each group can hold the model.
func (p *plan) groupCount(engines []*Engine) int {
	layers := 0
	for _, e := range engines {
		layers += e.LayerCapacity
	}
	bySize := (len(engines) + maxGroupSize - 1) / maxGroupSize
	return min(bySize, layers/(minGroupCopies*max(p.shape.Layers, 1)))
}

// compareBySpeed orders engines by speed (fastest first), then by memory (largest first), then by
// ID.
func compareBySpeed(a, b *Engine) int {
	return cmp.Or(cmp.Compare(a.LayerTime, b.LayerTime), cmp.Compare(b.LayerCapacity, a.LayerCapacity), a.ID.Compare(b.ID))
}

// sameKinds reports whether another layout has the same kinds of engines in the same order, so
// that both layouts have the same best ranges.
func (l *layout) sameKinds(other *layout) bool {
	return slices.EqualFunc(l.engines, other.engines, func(a, b *Engine) bool {
		return a.LayerCapacity == b.LayerCapacity && a.MemoryLayers == b.MemoryLayers && a.LayerTime == b.LayerTime && a.ReadTime == b.ReadTime
	})
}

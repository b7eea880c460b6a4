package placement

import (
	"cmp"
	"slices"
)

const (
	// maxGroupSize is how many engines of a data centre are planned together at the
	// most. Each engine's range is weighed by looking at all that are planned with it, so
	// that the cost of a plan grows with their square. The largest data centres that have
	// been measured have 44 engines, and are planned whole; a plan of 64 takes some 0.1 s.
	maxGroupSize = 64
	// minGroupCopies is how many copies of the model the engines of a group have memory for
	// at the least: one, and as much again for requests and second holders.
	minGroupCopies = 2
)

// groups divides a data centre's engines into groups that are planned one by one, each
// as if it were a data centre of its own. Engines that hold the same go to different
// groups, and so do those of a kind: each group has an even share of both.
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

// groupCount is into how many groups engines are divided: as many as keep them small
// enough, if each can hold the model.
func (p *plan) groupCount(engines []*Engine) int {
	layers := 0
	for _, e := range engines {
		layers += e.MaxLayers
	}
	wanted := (len(engines) + maxGroupSize - 1) / maxGroupSize
	return min(wanted, layers/(minGroupCopies*max(p.shape.Layers, 1)))
}

// compareBySpeed orders engines by speed, then by memory, then by name.
func compareBySpeed(a, b *Engine) int {
	return cmp.Or(cmp.Compare(a.LayerTime, b.LayerTime), cmp.Compare(b.MaxLayers, a.MaxLayers), a.ID.Compare(b.ID))
}

// sameKinds tells whether another layout has engines of the same kinds in the same order,
// so that what is best for one is best for the other.
func (l *layout) sameKinds(other *layout) bool {
	return slices.EqualFunc(l.engines, other.engines, func(a, b *Engine) bool {
		return a.MaxLayers == b.MaxLayers && a.MemoryLayers == b.MemoryLayers && a.LayerTime == b.LayerTime && a.ReadTime == b.ReadTime
	})
}

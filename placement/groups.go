package placement

import (
	"cmp"
	"slices"
)

const (
	// mostTogether is how many engines of a data centre are planned together at the
	// most. Each engine's range is weighed by looking at all that are planned with it, so
	// that the cost of a plan grows with their square. The largest data centres that have
	// been measured have 44 engines, and are planned whole; a plan of 64 takes some 0.1 s.
	mostTogether = 64
	// leastCopies is how many copies of the model the engines of a group have memory for
	// at the least: one, and as much again for requests and second holders.
	leastCopies = 2
)

// groups divides a data centre's engines into groups that are planned one by one, each
// as if it were a data centre of its own. Engines that hold the same go to different
// groups, and so do those of a kind: each group has an even share of both.
func (p *plan) groups(centre string) [][]*Engine {
	engines := p.of(centre)
	n := p.groupCount(engines)
	if n < 2 {
		return [][]*Engine{engines}
	}
	slices.SortFunc(engines, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.standing().From, b.standing().From), cmp.Compare(a.standing().To, b.standing().To), fastFirst(a, b))
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
		layers += e.Most
	}
	wanted := (len(engines) + mostTogether - 1) / mostTogether
	return min(wanted, layers/(leastCopies*max(p.shape.Layers, 1)))
}

// fastFirst orders engines by speed, then by memory, then by name.
func fastFirst(a, b *Engine) int {
	return cmp.Or(cmp.Compare(a.LayerTime, b.LayerTime), cmp.Compare(b.Most, a.Most), a.ID.Compare(b.ID))
}

// alike tells whether another layout has engines of the same kinds in the same order,
// so that what is best for one is best for the other.
func (l *layout) alike(other *layout) bool {
	return slices.EqualFunc(l.engines, other.engines, func(a, b *Engine) bool {
		return a.Most == b.Most && a.Memory == b.Memory && a.LayerTime == b.LayerTime && a.ReadTime == b.ReadTime
	})
}

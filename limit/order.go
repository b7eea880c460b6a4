package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/fleet"
)

// maxCandidates is how many nodes may hand out permits for an upstream: the owner, and two in its
// place.
const maxCandidates = 3

// Candidates returns the names of the nodes that may hand out permits for an upstream, the owner
// first. All nodes that know the same names find the same, and where a node is added or
// lost, only the upstreams change hands that are or were its own.
func Candidates(names []string, upstream fleet.Incarnation) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, 0, len(names))
	for _, name := range names {
		list = append(list, ranked{name: name, weight: xxhash.Sum64String(name + "\x00" + upstream.String())})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name)) })
	order := make([]string, 0, maxCandidates)
	for _, r := range list[:min(maxCandidates, len(list))] {
		order = append(order, r.name)
	}
	return order
}

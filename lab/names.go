package lab

import (
	"iter"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/dispatch"
)

// sortedNames returns the keys of a map, sorted, so that the same follows from the same.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedIDs(m map[dispatch.RequestID]*session) []dispatch.RequestID {
	return slices.Sorted(maps.Keys(m))
}

func keysOf[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }

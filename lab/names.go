package lab

import (
	"iter"
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/dispatch"
)

// sortedKeys returns the keys of a map, sorted, so that the same follows from the same.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedRequestIDs(m map[dispatch.RequestID]*session) []dispatch.RequestID {
	return slices.Sorted(maps.Keys(m))
}

func mapKeys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }

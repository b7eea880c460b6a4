package fairshare

import "slices"

// Level returns the max-min fair share of a capacity: the largest amount such that the sum of all
// demands, each limited to it, does not exceed the capacity. If the demands do not exceed the
// capacity, the level exceeds the largest demand by the spare capacity. Demands must not be negative
// or NaN.
func Level(capacity float64, demands []float64) float64 {
	ascending := slices.Sorted(slices.Values(demands))
	remaining := max(capacity, 0)
	for i, demand := range ascending {
		equal := remaining / float64(len(ascending)-i)
		if demand >= equal {
			return equal
		}
		remaining -= demand
	}
	if len(ascending) == 0 {
		return remaining
	}
	return ascending[len(ascending)-1] + remaining
}

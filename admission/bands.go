package admission

import "slices"

// bands holds the thresholds of the pressure from which each priority of a service is held back.
type bands struct {
	// priorities are the distinct priorities of the service, the most urgent one first.
	priorities []int
}

func newBands(priorities []int) bands {
	return bands{priorities: slices.Compact(slices.Sorted(slices.Values(priorities)))}
}

// differ reports whether there is more than one priority.
func (b bands) differ() bool { return len(b.priorities) > 1 }

// band returns the lowest and the highest threshold of a priority. Below the lowest one none of its
// requests is held back, and above the highest one all are. It reports false for the most urgent
// priority, which has no thresholds.
//
// The bands of the other priorities divide the pressure from 0 to 1 evenly, with the least urgent
// one first, so that a request is held back only if all less urgent ones are. A priority that is
// not configured belongs to the next less urgent one.
func (b bands) band(priority int) (low, high float64, ok bool) {
	at, _ := slices.BinarySearch(b.priorities, priority)
	at = min(at, len(b.priorities)-1)
	if at <= 0 {
		return 0, 0, false
	}
	width := 1 / float64(len(b.priorities)-1)
	high = 1 - width*float64(at-1)
	return high - width, high, true
}

// threshold returns the threshold of a request by its draw, from 0 up to 1.
func (b bands) threshold(priority int, draw float64) (threshold float64, ok bool) {
	low, high, ok := b.band(priority)
	return low + draw*(high-low), ok
}

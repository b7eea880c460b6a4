package admission

import "github.com/hoistjunction/hoistjunction/clock"

// Load is the load of a service's engines, as all nodes report it.
type Load struct {
	// Layers is the number of layers of the service's pipeline.
	Layers  int
	Engines []Engine
	// NewestReport and OldestReport are when the newest and the oldest of the included usage
	// reports of other nodes arrived; clock.Never without reports.
	NewestReport clock.Millis
	OldestReport clock.Millis
}

// Use returns the used share of the scarcest layer, since a request needs every layer. It reports
// false if some layer has no engine: no request can be sent then.
func (l Load) Use() (use float64, ok bool) {
	if l.Layers <= 0 {
		return 0, false
	}
	memory := make([]share, l.Layers)
	var slots share
	for _, e := range l.Engines {
		from, to := max(e.Held.From, 0), min(e.Held.To, l.Layers)
		if from >= to || e.Memory <= 0 {
			continue
		}
		// The memory of an engine is common to its layers. Divided by their number it is the
		// tokens of requests that pass through all of them.
		held := float64(e.Held.Len())
		for layer := from; layer < to; layer++ {
			memory[layer].add(plausible(e.UsedMemory, e.Memory)/held, e.Memory/held)
		}
		if from == 0 {
			slots.add(plausible(e.UsedSlots, e.Slots), e.Slots)
		}
	}
	for _, m := range memory {
		if m.total <= 0 {
			return 0, false
		}
		use = max(use, m.ratio())
	}
	// Streams take slots only at the engine with the first layer.
	return max(use, slots.ratio()), true
}

// capacity returns the memory of all engines.
func (l Load) capacity() float64 {
	sum := 0.0
	for _, e := range l.Engines {
		sum += e.Memory
	}
	return sum
}

// streams returns the number of streams on the pipeline, which each begin at an engine with the first
// layer; 0 if unknown.
func (l Load) streams() float64 {
	sum := 0.0
	for _, e := range l.Engines {
		if e.Held.From <= 0 && e.Held.To > 0 {
			sum += max(e.UsedSlots, 0)
		}
	}
	return sum
}

// observation is what is observed of a service's load: the use of its scarcest layer, the memory of its
// engines, and the number of its streams.
type observation struct{ use, capacity, streams float64 }

// share is a used amount of a total.
type share struct{ used, total float64 }

func (s *share) add(used, total float64) { s.used, s.total = s.used+used, s.total+total }

// ratio returns the used part from 0 to 1; zero if there is no total.
func (s *share) ratio() float64 {
	if s.total <= 0 {
		return 0
	}
	return s.used / s.total
}

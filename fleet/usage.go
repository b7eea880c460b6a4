package fleet

import "fmt"

// EngineUsage is the resources that requests take at an engine.
type EngineUsage struct {
	// Memory is in tokens times layers.
	Memory float64
	// Streams counts the streams whose chain starts at the engine. The engine processes as many
	// of them as it has slots; the others wait.
	Streams int
}

// Plus returns the sum of two usages.
func (u EngineUsage) Plus(other EngineUsage) EngineUsage {
	return EngineUsage{Memory: u.Memory + other.Memory, Streams: u.Streams + other.Streams}
}

// Minus returns the difference of two usages.
func (u EngineUsage) Minus(other EngineUsage) EngineUsage {
	return EngineUsage{Memory: u.Memory - other.Memory, Streams: u.Streams - other.Streams}
}

// String formats the memory, followed by the number of streams unless it is zero.
func (u EngineUsage) String() string {
	if u.Streams == 0 {
		return fmt.Sprint(u.Memory)
	}
	return fmt.Sprintf("%v/%d", u.Memory, u.Streams)
}

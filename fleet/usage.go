package fleet

import "fmt"

// EngineUsage is the resources that requests take at an engine.
type EngineUsage struct {
	// Memory is in tokens times layers.
	Memory float64
	// Streams counts the streams whose chain starts at the engine. The engine processes as many
	// of them as it has slots; the others wait.
	Streams int
	// PromptTokens counts the prompt tokens of the streams through the engine that have no event
	// yet.
	PromptTokens float64
	// Slowdown is the ratio of the engine's token time to the normal value, as the reporting nodes
	// measured it recently; zero if they did not, or if the engine is not slow.
	Slowdown float64
}

// Plus returns the sum of two usages, which has no slowdown.
func (u EngineUsage) Plus(other EngineUsage) EngineUsage {
	return EngineUsage{Memory: u.Memory + other.Memory, Streams: u.Streams + other.Streams, PromptTokens: u.PromptTokens + other.PromptTokens}
}

// Minus returns the difference of two usages, which has no slowdown.
func (u EngineUsage) Minus(other EngineUsage) EngineUsage {
	return EngineUsage{Memory: u.Memory - other.Memory, Streams: u.Streams - other.Streams, PromptTokens: u.PromptTokens - other.PromptTokens}
}

// String formats the memory, followed by the number of streams, the prompt tokens and the slowdown
// unless they are zero.
func (u EngineUsage) String() string {
	switch {
	case u.Slowdown != 0:
		return fmt.Sprintf("%v/%d/%v x%v", u.Memory, u.Streams, u.PromptTokens, u.Slowdown)
	case u.PromptTokens != 0:
		return fmt.Sprintf("%v/%d/%v", u.Memory, u.Streams, u.PromptTokens)
	case u.Streams != 0:
		return fmt.Sprintf("%v/%d", u.Memory, u.Streams)
	}
	return fmt.Sprint(u.Memory)
}

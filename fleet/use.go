package fleet

import "fmt"

// EngineUsage is what requests take at an engine.
type EngineUsage struct {
	// Memory is in tokens times layers.
	Memory float64
	// Streams are those that begin there. An engine works on so many as it has slots; the
	// others wait.
	Streams int
}

// Plus returns what both take together.
func (u EngineUsage) Plus(o EngineUsage) EngineUsage {
	return EngineUsage{Memory: u.Memory + o.Memory, Streams: u.Streams + o.Streams}
}

// Minus returns what is left of a use without another one.
func (u EngineUsage) Minus(o EngineUsage) EngineUsage {
	return EngineUsage{Memory: u.Memory - o.Memory, Streams: u.Streams - o.Streams}
}

// String writes the memory, and the streams that begin there if there are any.
func (u EngineUsage) String() string {
	if u.Streams == 0 {
		return fmt.Sprint(u.Memory)
	}
	return fmt.Sprintf("%v/%d", u.Memory, u.Streams)
}

package admission

import "github.com/hoistjunction/hoistjunction/clock"

// Decision is the result of Admit with its inputs.
type Decision struct {
	Admitted bool
	Priority int
	// Use is the use of the scarcest layer at the last observation.
	Use float64
	// Pressure is the pressure at the last observation. Level is the pressure with hysteresis: it
	// rises with the pressure and falls only after it. A request is held back if Level has reached
	// its Threshold.
	Pressure  float64
	Level     float64
	Threshold float64
	// Age is the age of the oldest usage report that the pressure includes.
	Age clock.Millis
	// Wait is the expected time until a request with this threshold is admitted.
	Wait clock.Millis
}

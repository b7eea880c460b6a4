package fairshare

import "github.com/hoistjunction/hoistjunction/clock"

// Decision is the result of Admit with its inputs.
type Decision struct {
	Admitted bool
	Account  string
	// Use is the use of the account over all nodes at the last observation, and Share its fair
	// share, in tokens times layers.
	Use   float64
	Share float64
	// Age is the age of the oldest report that Use and Share include.
	Age clock.Millis
	// Wait is the expected time until the account is below its share.
	Wait clock.Millis
	// NextIn is the time until this node may admit the next request of the account.
	NextIn clock.Millis
	// Interval is the time between the admissions of requests of this size on this node.
	Interval clock.Millis
}

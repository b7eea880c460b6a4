package reachability

import "github.com/hoistjunction/hoistjunction/clock"

// Change is a change of the state of a data centre, with the evidence for it.
type Change struct {
	DataCentre string
	State      State
	// Failed is the number of upstreams that failed since the last answer, and Listed that of all
	// upstreams.
	Failed int
	Listed int
	// Kind is the last failure; meaningless for Reached.
	Kind Failure
	// AnswerAge is the time since an upstream last answered before this change; -1 for never.
	AnswerAge clock.Millis
	// Lasted is how long the previous state lasted.
	Lasted clock.Millis
}

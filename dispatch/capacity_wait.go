package dispatch

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
)

// capacityWait is the wait of a request for capacity before its answer has begun.
type capacityWait struct {
	// reason is the lack for which the request waits, and since when the wait began.
	reason Reason
	since  clock.Millis
	// ended reports whether the request may not wait any more.
	ended bool
	// admitted reports whether the request has passed the waiting ones since its last attempt.
	admitted bool
	// returned reports whether this node refused the same work shortly before.
	returned bool
	// hasFailure reports whether the last attempt ended with an error response of the upstream,
	// which is relayed at once.
	hasFailure bool
}

// WaitOutcome is how a wait for capacity ended.
type WaitOutcome string

// Outcomes of a wait for capacity.
const (
	WaitSent    WaitOutcome = "sent"
	WaitRefused WaitOutcome = "refused"
	WaitLeft    WaitOutcome = "caller_left"
)

// CapacityWaitCmd logs that a request begins to wait for capacity.
type CapacityWaitCmd struct {
	Request  RequestID
	CallerID string
	Service  string
	Reason   Reason
	Priority int
	// Returned reports whether this node refused the same work shortly before.
	Returned bool
	// Waiting is the number of waiting requests of the service, including this one, and Until
	// the end of its wait.
	Waiting int
	Until   clock.Millis
	// OverShare is the decision of fair shares; nil if that is not the reason.
	OverShare *fairshare.Decision
}

// CapacityWaitEndCmd logs that a wait for capacity has ended.
type CapacityWaitEndCmd struct {
	Request  RequestID
	CallerID string
	Service  string
	Reason   Reason
	Outcome  WaitOutcome
	Waited   clock.Millis
}

func (CapacityWaitCmd) dispatchCmd()    {}
func (CapacityWaitEndCmd) dispatchCmd() {}

// CapacityWaits summarises the waits for capacity, for metrics.
type CapacityWaits struct {
	// Waiting and BodyBytes are the requests that wait now and the size of their bodies.
	Waiting   int `json:"waiting"`
	BodyBytes int `json:"body_bytes"`
	// Begun counts the waits since the start, and the others their outcomes.
	Begun   int `json:"begun"`
	Sent    int `json:"sent"`
	Refused int `json:"refused"`
	Left    int `json:"caller_left"`
	// Longest is the duration of the longest wait that has ended.
	Longest clock.Millis `json:"longest_ms"`
}

// CapacityWaits returns a summary of the waits for capacity.
func (m *Model) CapacityWaits() CapacityWaits { return m.capacityWaits }

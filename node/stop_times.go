package node

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// deregistrationDelay is how long a stopping node still accepts connections. The platform
	// checks readiness each second and deregisters a node at the second failed check.
	deregistrationDelay clock.Millis = 3000
	// lateDelay is when the platform has made two readiness checks and deregistered the node. New
	// requests come only on older connections from then on.
	lateDelay clock.Millis = 2500
	// cutoffMargin is how long before the end of the grace period a node ends the requests in
	// progress, so that its process exits by itself. It is at most 1/cutoffShare of the grace period,
	// the part in which requests may be ended.
	cutoffMargin clock.Millis = 500
	// lastAnswerTime is the time for writing the answers of requests that the node ends. A grace period
	// under cutoffShare times as long ends within it.
	lastAnswerTime clock.Millis = 300
)

// cutoffShare is the part of the grace period in which requests may be ended: a sixth.
const cutoffShare = 6

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// late is when new requests no longer come from the platform's balancer, and closing when the node
	// closes its listeners.
	late, closing clock.Millis
	// end is when the node ends the requests that are still in progress.
	end clock.Millis
}

// newStopTimes returns the times of a stop that a node notices at a time. The node runs late by a delay, and
// the signal may have come that much earlier.
func newStopTimes(noticed, delay, grace clock.Millis) stopTimes {
	signalled := noticed.Add(-delay)
	margin := min(cutoffMargin, grace/cutoffShare)
	end := signalled.Add(grace - margin)
	return stopTimes{late: min(signalled.Add(lateDelay), end), closing: min(signalled.Add(deregistrationDelay), end), end: end}
}

package catalog

import "github.com/hoistjunction/hoistjunction/clock"

// Kind determines whether a request may be repeated if it is unknown whether it was executed.
type Kind uint8

// The kinds of request.
const (
	// AtMostOnce requests are executed at most once for each try of a caller.
	AtMostOnce Kind = iota
	// Repeatable requests may be executed more than once.
	Repeatable
	// Streaming requests are answered with a series of events.
	Streaming
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Streaming:
		return "streaming"
	default:
		return "once"
	}
}

// Route determines which services handle a request, and its bounds.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets are the services among which the route's requests are split.
	Targets []Target
	// Timeout bounds how long a request may be in progress.
	Timeout clock.Millis
	// LatencyTarget is the time within which an answer (for a stream, its first event) has its
	// full value, and EventGapTarget the longest such pause between events.
	LatencyTarget  clock.Millis
	EventGapTarget clock.Millis
	// MaxAttempts bounds how many upstreams may execute one try.
	MaxAttempts int
	Priority    int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resumable streams may be resumed on another upstream after their first event.
	Resumable bool
}

// Target is a service's share of a route.
type Target struct {
	Service string
	Weight  float64
}

// MayRepeat reports whether a request may be executed again if it is unknown whether it was
// executed before.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// ServiceAt returns the service for a position from 0 up to 1 in the traffic split. The same
// position gives the same service while the weights are unchanged.
func (r *Route) ServiceAt(position float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	position *= total
	for _, t := range r.Targets {
		if position < t.Weight {
			return t.Service
		}
		position -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send. Zero means that there is no bound.
type Limits struct {
	MaxBodyBytes int64
}

package catalog

import "github.com/hoistjunction/hoistjunction/clock"

// Kind says what may be done with a request whose fate is unknown.
type Kind uint8

// The kinds of request.
const (
	// AtMostOnce marks requests that run at most once for each try of a caller.
	AtMostOnce Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Streaming marks requests that are answered as a series of events.
	Streaming
)

// String names the kind for logs.
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

// Route says where a request goes and under which bounds.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets are the services that share the route's requests.
	Targets []Target
	// Timeout is the longest time for which a request may be held.
	Timeout clock.Millis
	// LatencyTarget is the time within which an answer (or a stream's first event) earns
	// its full worth, and EventGapTarget the longest pause between events that does.
	LatencyTarget  clock.Millis
	EventGapTarget clock.Millis
	// MaxAttempts is the largest number of upstreams that may run one try.
	MaxAttempts int
	Priority    int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may be taken up by another upstream after an event.
	Resumable bool
}

// Target is a service's share of a route.
type Target struct {
	Service string
	Weight  float64
}

// MayRepeat tells whether a request of this route may run again after a run
// whose fate is unknown.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// ServiceAt chooses a target by a number from 0 up to 1, so that the same number
// gives the same service for as long as the weights stay.
func (r *Route) ServiceAt(at float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at *= total
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
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

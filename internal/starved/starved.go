// Package starved holds the minimum service that callers must receive in soaks and rehearsals.
// Its bounds are those stated for the product.
package starved

import "math"

const (
	// MinServedWithoutFaults is the least share of requests that must be served while no fault is injected.
	MinServedWithoutFaults = 0.99
	// Of the callers with at least minRequests requests over at least minSpanSeconds, the number
	// that are never served may be at most chanceFactor times the number expected by chance, plus
	// maxNeverServed, plus the share maxNeverServedShare of these callers.
	minRequests         = 4
	minSpanSeconds      = 8.0
	chanceFactor        = 3
	maxNeverServed      = 2
	maxNeverServedShare = 0.04
)

// Demand counts the requests of one caller, or of all callers of one subject, and those that
// were served. Span is the time between the first and the last request, in seconds.
type Demand struct {
	Requests, Served int
	Span             float64
}

// CountNeverServed returns the number of callers that were never served, the number of callers
// with enough requests to be counted, and the limit for the former. ServedShare is the share of all
// requests that was served.
func CountNeverServed(list []Demand, servedShare float64) (never, counted int, limit float64) {
	chance := 0.0
	for _, d := range list {
		if d.Requests < minRequests || d.Span < minSpanSeconds {
			continue
		}
		counted++
		chance += math.Pow(1-servedShare, float64(d.Requests))
		if d.Served == 0 {
			never++
		}
	}
	return never, counted, chanceFactor*chance + maxNeverServed + maxNeverServedShare*float64(counted)
}

// Package starved holds what callers must get at the least, for soaks and rehearsals. Its bounds
// are those stated for the product.
package starved

import "math"

const (
	// CalmAtLeast is the part of what is asked for that is served while nothing is harmed.
	CalmAtLeast = 0.99
	// Of those that ask fewestAsks times or more over longEnough, in s, so many times what
	// chance would give, neverMost and neverShare of them may be served never.
	fewestAsks  = 4
	longEnough  = 8.0
	timesChance = 3
	neverMost   = 2
	neverShare  = 0.04
)

// Asked is what one caller, or those of one subject, have asked for, and how often they were
// served. Span is the time between the first and the last request, in s.
type Asked struct {
	Count, Served int
	Span          float64
}

// Never counts those that asked often enough and were served never, and says how many that may be
// at the most. Part is the part of all requests that was served.
func Never(list []Asked, part float64) (never, often int, most float64) {
	chance := 0.0
	for _, a := range list {
		if a.Count < fewestAsks || a.Span < longEnough {
			continue
		}
		often++
		chance += math.Pow(1-part, float64(a.Count))
		if a.Served == 0 {
			never++
		}
	}
	return never, often, timesChance*chance + neverMost + neverShare*float64(often)
}

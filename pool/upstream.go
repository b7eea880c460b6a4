package pool

import "github.com/hoistjunction/hoistjunction/clock"

// Upstream is one model engine or one instance of a plain service, with its state
// and measurements.
type Upstream struct {
	name    string
	listing Listing
	group   *Group

	// listedAt is when the list of VMs last contained the upstream.
	listedAt     clock.Millis
	leaving      bool
	removed      bool
	probing      bool
	ejectedUntil clock.Millis
	failures     int

	inFlight int
	// otherLoad is the averaged number of generations of other nodes.
	otherLoad       float64
	limit           float64
	slowStart       bool
	limitAdjustedAt clock.Millis
	// groupContribution is the part of the group limit that stems from this upstream.
	groupContribution float64
	// windowAnswers and windowMisses count the responses and late responses in the
	// current window; windowPeak is its maximum number of requests in flight.
	windowAnswers int
	windowMisses  int
	windowPeak    int

	stepTime     movingAverage
	positionTime movingAverage
}

// Name returns the upstream's name, unique in the fleet.
func (u *Upstream) Name() string { return u.name }

// Listing returns the newest entry for the upstream in the platform's list of VMs.
func (u *Upstream) Listing() Listing { return u.listing }

// InFlight returns the number of requests that this node has in flight at the
// upstream.
func (u *Upstream) InFlight() int { return u.inFlight }

// Limit returns the maximum number of requests that this node may have in flight
// at the upstream.
func (u *Upstream) Limit() float64 { return u.limit }

// StepMillis returns the average time of a decode step in milliseconds, network
// time included; zero before the first step.
func (u *Upstream) StepMillis() float64 { return u.stepTime.value }

// PrefillMillis returns the average time for each prefill position in
// milliseconds; zero before the first prefill.
func (u *Upstream) PrefillMillis() float64 { return u.positionTime.value }

// Leaving reports whether the upstream is marked as leaving and gets no new work.
func (u *Upstream) Leaving() bool { return u.leaving }

// Ejected reports whether the upstream is ejected after a failure and not yet
// being probed.
func (u *Upstream) Ejected() bool { return u.ejectedUntil != 0 && !u.probing }

// HasCapacity reports whether the upstream may get one more request.
func (u *Upstream) HasCapacity() bool { return u.hasCapacity(1) }

// hasCapacity is like HasCapacity, with the limit multiplied by limitFactor.
func (u *Upstream) hasCapacity(limitFactor float64) bool {
	return u.available() && float64(u.inFlight)+1 <= u.limit*limitFactor
}

// State returns the upstream's state as a word for display.
func (u *Upstream) State() string {
	switch {
	case u.leaving:
		return "leaving"
	case u.Ejected():
		return "ejected"
	case u.probing || u.slowStart:
		return "starting"
	default:
		return "ready"
	}
}

// available reports whether the upstream may get new work within its limit.
func (u *Upstream) available() bool {
	return !u.removed && !u.leaving && !u.Ejected()
}

func (u *Upstream) setLimit(limit float64) {
	u.limit = limit
	u.updateGroupLimit()
}

// updateGroupLimit adjusts the group limit to a change of this upstream's limit
// or availability.
func (u *Upstream) updateGroupLimit() {
	contribution := 0.0
	if u.available() {
		contribution = u.limit
	}
	u.group.limit += contribution - u.groupContribution
	u.groupContribution = contribution
}

// loadScore estimates the time of a step: the average step time, multiplied by
// the utilization with the requests of this node and of other nodes. Lower is
// better.
func (u *Upstream) loadScore() float64 {
	return (u.stepTime.value + 1) * (float64(u.inFlight) + u.otherLoad + 1) / (u.limit + u.otherLoad)
}

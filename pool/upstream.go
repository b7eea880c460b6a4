package pool

import "github.com/hoistjunction/hoistjunction/clock"

// Upstream is one model engine or plain service, and what is known of it.
type Upstream struct {
	name    string
	listing Listing
	group   *Group

	listedAt     clock.Millis
	leaving      bool
	removed      bool
	probing      bool
	ejectedUntil clock.Millis
	failures     int

	inFlight          int
	otherLoad         float64
	limit             float64
	slowStart         bool
	limitAdjustedAt   clock.Millis
	groupContribution float64
	windowAnswers     int
	windowMisses      int
	windowPeak        int

	stepTime     movingAverage
	positionTime movingAverage
}

// Name returns the upstream's name, unique in the fleet.
func (u *Upstream) Name() string { return u.name }

// Listing returns the platform's newest word on the upstream.
func (u *Upstream) Listing() Listing { return u.listing }

// InFlight returns the work that this node has there.
func (u *Upstream) InFlight() int { return u.inFlight }

// Limit returns how much work this node may have there.
func (u *Upstream) Limit() float64 { return u.limit }

// StepMillis returns the usual time of a decode step there, link included;
// zero before the first one.
func (u *Upstream) StepMillis() float64 { return u.stepTime.value }

// PrefillMillis returns the usual time for each position of a step.
func (u *Upstream) PrefillMillis() float64 { return u.positionTime.value }

// Leaving reports whether the upstream gets no new work.
func (u *Upstream) Leaving() bool { return u.leaving }

// Ejected reports whether the upstream is out of the choice after a failure.
func (u *Upstream) Ejected() bool { return u.ejectedUntil != 0 && !u.probing }

// HasCapacity reports whether the upstream may be given one more piece of work.
func (u *Upstream) HasCapacity() bool { return u.hasCapacity(1) }

// hasCapacity is HasCapacity with the limit stretched by a factor.
func (u *Upstream) hasCapacity(over float64) bool {
	return u.available() && float64(u.inFlight)+1 <= u.limit*over
}

// State returns the upstream's state in a word, for people.
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

func (u *Upstream) available() bool {
	return !u.removed && !u.leaving && !u.Ejected()
}

func (u *Upstream) setLimit(limit float64) {
	u.limit = limit
	u.updateGroupLimit()
}

// updateGroupLimit brings the group's sum of limits up to date with this upstream.
func (u *Upstream) updateGroupLimit() {
	now := 0.0
	if u.available() {
		now = u.limit
	}
	u.group.limit += now - u.groupContribution
	u.groupContribution = now
}

// loadScore is the expected time of a step there, stretched by how full the
// upstream is with this node's work and the others'. Lower is better.
func (u *Upstream) loadScore() float64 {
	return (u.stepTime.value + 1) * (float64(u.inFlight) + u.otherLoad + 1) / (u.limit + u.otherLoad)
}

package reachability

import (
	"maps"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// doubtfulFailures is the number of upstreams of a data centre that must fail, without an
	// answer of any other, for its state to be Doubtful.
	doubtfulFailures = 2
	// cutFailures is the same number for Cut, if one of them has answered before. Those that never did may
	// be listed by mistake: without one that has answered, all that are listed must fail.
	cutFailures = 4
	// recentAnswer is how long an answer says that a data centre is reached although another is cut.
	recentAnswer clock.Millis = 300
	// failureWindow is how long a failure counts.
	failureWindow clock.Millis = 5000
)

// Table holds a node's evidence about its links to upstreams.
type Table struct {
	centres map[string]*centre
	// answeredAt is when an upstream of any data centre last answered.
	answeredAt clock.Millis
	// unsettled counts the data centres whose state is not Reached.
	unsettled int
}

// centre is the evidence about the upstreams of a data centre.
type centre struct {
	state State
	// changedAt is when the state was entered, and answeredAt when an upstream last answered.
	changedAt  clock.Millis
	answeredAt clock.Millis
	// failures holds the upstreams that failed since answeredAt, and answered those that have ever answered.
	failures map[fleet.Incarnation]failureRecord
	answered map[fleet.Incarnation]bool
}

// New returns a table without evidence.
func New() *Table {
	return &Table{centres: make(map[string]*centre), answeredAt: clock.Never}
}

// State returns the state of a data centre.
func (t *Table) State(dataCentre string) State {
	if c := t.centres[dataCentre]; c != nil {
		return c.state
	}
	return Reached
}

// Unsettled returns the data centres whose links are doubtful or cut, ordered by name.
func (t *Table) Unsettled() []string {
	if t.unsettled == 0 {
		return nil
	}
	var names []string
	for name, c := range t.centres {
		if c.state != Reached {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HasFailed reports whether an upstream has failed since any upstream of its data centre last
// answered.
func (t *Table) HasFailed(l Link) bool {
	c := t.centres[l.DataCentre]
	if c == nil {
		return false
	}
	_, failed := c.failures[l.Upstream]
	return failed
}

// HasAnswered reports whether an upstream has ever answered.
func (t *Table) HasAnswered(l Link) bool {
	c := t.centres[l.DataCentre]
	return c != nil && c.answered[l.Upstream]
}

// RecordAnswer records that an upstream answered. It returns the change of state, if any.
func (t *Table) RecordAnswer(now clock.Millis, l Link, listed int) (Change, bool) {
	c := t.centre(l.DataCentre)
	previous := c.answeredAt
	c.answeredAt, t.answeredAt = now, now
	c.answered[l.Upstream] = true
	if len(c.failures) > 0 {
		clear(c.failures)
	}
	return t.enter(c, now, Reached, Change{DataCentre: l.DataCentre, Listed: listed, AnswerAge: clock.AgeOf(previous, now)})
}

// RecordFailure records that an upstream could not be reached; listed is the number of upstreams
// in its data centre. It returns the change of state, if any.
func (t *Table) RecordFailure(now clock.Millis, l Link, kind Failure, listed int) (Change, bool) {
	c := t.centre(l.DataCentre)
	maps.DeleteFunc(c.failures, func(_ fleet.Incarnation, f failureRecord) bool { return now > f.at.Add(failureWindow) })
	c.failures[l.Upstream] = failureRecord{kind: kind, at: now}
	state := max(c.state, c.stateByFailures(listed))
	if state == Reached && t.failuresSinceAnswer() >= doubtfulFailures {
		state = Doubtful
	}
	return t.enter(c, now, state, Change{
		DataCentre: l.DataCentre, Failed: len(c.failures), Listed: listed, Kind: kind, AnswerAge: clock.AgeOf(c.answeredAt, now),
	})
}

// failuresSinceAnswer returns the number of upstreams of all data centres that failed since any
// upstream answered. A node sends requests to few upstreams of each data centre, so that a cut from
// all of them shows in one failure each.
func (t *Table) failuresSinceAnswer() int {
	n := 0
	for _, c := range t.centres {
		for _, f := range c.failures {
			if f.at > t.answeredAt {
				n++
			}
		}
	}
	return n
}

// Doubt makes the state of a data centre Doubtful if it is Reached and no upstream there has answered
// lately. It is called for the other data centres when one of them is cut.
func (t *Table) Doubt(now clock.Millis, dataCentre string, listed int) (Change, bool) {
	c := t.centre(dataCentre)
	if c.state != Reached || now <= c.answeredAt.Add(recentAnswer) {
		return Change{}, false
	}
	return t.enter(c, now, Doubtful, Change{DataCentre: dataCentre, Failed: len(c.failures), Listed: listed, Kind: Silent, AnswerAge: clock.AgeOf(c.answeredAt, now)})
}

// WithdrawSilence drops the evidence that a data centre's upstreams were silent, and returns the change of
// state, if any: the node itself was too late to hear them.
func (t *Table) WithdrawSilence(now clock.Millis, dataCentre string, listed int) (Change, bool) {
	c := t.centre(dataCentre)
	maps.DeleteFunc(c.failures, func(_ fleet.Incarnation, f failureRecord) bool { return f.kind.IsSilence() })
	state := min(c.state, c.stateByFailures(listed))
	return t.enter(c, now, state, Change{DataCentre: dataCentre, Failed: len(c.failures), Listed: listed, Kind: Silent, AnswerAge: clock.AgeOf(c.answeredAt, now)})
}

// Forget drops the evidence about an upstream that is no longer listed.
func (t *Table) Forget(l Link) {
	if c := t.centres[l.DataCentre]; c != nil {
		delete(c.failures, l.Upstream)
		delete(c.answered, l.Upstream)
	}
}

// stateByFailures returns the state that the failures of a data centre's listed upstreams lead to.
func (c *centre) stateByFailures(listed int) State {
	failed := len(c.failures)
	switch {
	case failed < doubtfulFailures:
		return Reached
	case failed >= listed, failed >= cutFailures && c.answeredBeforeFailing():
		return Cut
	default:
		return Doubtful
	}
}

// answeredBeforeFailing reports whether any of the upstreams that failed has answered before.
func (c *centre) answeredBeforeFailing() bool {
	for id := range c.failures {
		if c.answered[id] {
			return true
		}
	}
	return false
}

func (t *Table) centre(name string) *centre {
	c := t.centres[name]
	if c == nil {
		c = &centre{answeredAt: clock.Never, failures: make(map[fleet.Incarnation]failureRecord), answered: make(map[fleet.Incarnation]bool)}
		t.centres[name] = c
	}
	return c
}

// enter sets the state of a data centre and completes the change that led to it.
func (t *Table) enter(c *centre, now clock.Millis, state State, change Change) (Change, bool) {
	if state == c.state {
		return Change{}, false
	}
	if c.state == Reached {
		t.unsettled++
	}
	if state == Reached {
		t.unsettled--
	}
	change.State, change.Lasted = state, now.Sub(c.changedAt)
	c.state, c.changedAt = state, now
	return change, true
}
